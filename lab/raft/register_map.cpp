#include "lab/raft/register_map.h"

#include <sstream>

namespace ochrehub::lab {
namespace {

char code_of(RegisterOperation::Kind kind) {
    if (kind == RegisterOperation::Kind::Write) return 'w';
    return kind == RegisterOperation::Kind::CompareAndSet ? 'c' : 'a';
}

RegisterOperation::Kind kind_of(const std::string& code) {
    if (code == "w") return RegisterOperation::Kind::Write;
    return code == "c" ? RegisterOperation::Kind::CompareAndSet : RegisterOperation::Kind::Append;
}

}  // namespace

std::string RegisterMap::command(const RegisterOperation& operation) {
    return std::string(1, code_of(operation.kind)) + ' ' + operation.key + ' ' + operation.value + ' ' +
           operation.expected;
}

std::string RegisterMap::apply(const std::string& command) {
    std::istringstream in(command);
    std::string code;
    RegisterOperation operation;
    in >> code >> operation.key >> operation.value >> operation.expected;
    operation.kind = kind_of(code);
    return apply_operation(operation, values_[operation.key]);
}

std::string RegisterMap::read(const std::string& key) const {
    auto found = values_.find(key);
    return found == values_.end() ? std::string() : found->second;
}

std::string RegisterMap::snapshot() const {
    std::string out;
    for (const auto& [key, value] : values_) out += key + ' ' + value + '\n';
    return out;
}

void RegisterMap::restore(const std::string& snapshot) {
    values_.clear();
    std::istringstream in(snapshot);
    for (std::string line; std::getline(in, line);) {
        std::size_t blank = line.find(' ');
        values_[line.substr(0, blank)] = line.substr(blank + 1);
    }
}

}  // namespace ochrehub::lab
