#include "check/check.h"

#include <cstdio>

#include "config/node_config.h"
#include "config/operators_file.h"

namespace ochrehub {

int check(const std::string& path) {
    Report node;
    Names names;
    bool read = false;
    try {
        names = read_node_config(Occasion::Start, node).names;
        read = true;
    } catch (const ConfigError& error) {
        node.faults.emplace_back(error.what());
    }
    // Without GW_CONFIG no class is known, and none is held against the file.
    OperatorsFile operators = read_operators_file(path, read ? &names.classes : nullptr);
    for (const auto* faults : {&operators.faults, &node.faults})
        for (const std::string& fault : *faults) std::printf("%s\n", fault.c_str());
    for (const OperatorsFile::Value& v : operators.values) {
        std::string source = v.line > 0        ? "file line " + std::to_string(v.line)
                             : v.value.empty() ? "no default"
                                               : "default";
        std::printf("%s %s (%s)\n", v.name.c_str(), v.value.empty() ? "unset" : v.value.c_str(),
                    source.c_str());
    }
    for (const Report::Value& v : node.values)
        std::printf("%s %s (%s)\n", v.name.c_str(), v.value.empty() ? "unset" : v.value.c_str(),
                    v.source.c_str());
    return operators.faults.empty() && node.faults.empty() ? 0 : 1;
}

}  // namespace ochrehub
