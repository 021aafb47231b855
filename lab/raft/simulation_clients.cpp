// The clients of a simulated consensus group.
#include <string>
#include <utility>

#include "lab/raft/simulation.h"

namespace ochrehub::lab {
namespace {

constexpr Duration kOperationTimeout{1500};
/// Keys change with time, so that operations without a response don't burden the search for ever.
constexpr double kKeyLifetimeMs = 2000;
constexpr std::size_t kKeysAtATime = 2;

RegisterOperation::Kind kind_of(std::size_t tenth) {
    if (tenth < 4) return RegisterOperation::Kind::Read;
    if (tenth < 6) return RegisterOperation::Kind::Write;
    if (tenth < 8) return RegisterOperation::Kind::CompareAndSet;
    return RegisterOperation::Kind::Append;
}

}  // namespace

void RaftSimulation::run_clients() {
    TimePoint now = net_->now();
    for (std::size_t i = 0; i < clients_.size(); ++i) {
        Client& client = clients_[i];
        if (client.operation && now >= client.deadline) {  // it may still take effect
            client_of_.erase(*client.operation + 1);
            client.operation.reset();
            client.target = raft::NodeId(1 + random_below(servers_.size()));
        }
        if (client.operation || !clients_running_ || now < client.next_operation_at) continue;
        if (find_target(client))
            start_operation(i);
        else
            client.next_operation_at = now + settings_.think_time;
    }
}

bool RaftSimulation::find_target(Client& client) {
    if (!up(client.target)) client.target = raft::NodeId(1 + random_below(servers_.size()));
    return up(client.target);
}

RegisterOperation RaftSimulation::random_operation(std::uint64_t number) {
    RegisterOperation operation;
    auto key_period = std::uint64_t(net_->now().time_since_epoch().count() / kKeyLifetimeMs);
    std::size_t key = random_below(kKeysAtATime);
    operation.key.append("e").append(std::to_string(key_period)).append("k").append(std::to_string(key));
    operation.kind = kind_of(random_below(10));
    if (operation.kind == RegisterOperation::Kind::Append) operation.value.append(".");
    operation.value.append(std::to_string(number));
    if (operation.kind == RegisterOperation::Kind::CompareAndSet)
        operation.expected = expected_value(operation.key);
    operation.invoked_at = net_->now().time_since_epoch().count();
    return operation;
}

/// What the register held at one of the latest operations; empty: unknown.
std::string RaftSimulation::expected_value(const std::string& key) const {
    constexpr std::ptrdiff_t kMaxOperations = 50;
    for (auto last = operations_.rbegin(); last != operations_.rend(); ++last) {
        if (last - operations_.rbegin() >= kMaxOperations) break;
        bool known = last->key == key && last->responded_at != RegisterOperation::kNoResponse &&
                     last->kind != RegisterOperation::Kind::CompareAndSet;
        if (known) return last->kind == RegisterOperation::Kind::Write ? last->value : last->response;
    }
    return {};
}

void RaftSimulation::start_operation(std::size_t client_index) {
    Client& client = clients_[client_index];
    std::uint64_t number = operations_.size() + 1;
    operations_.push_back(random_operation(number));
    not_executed_.push_back(false);
    client.operation = number - 1;
    client.deadline = net_->now() + kOperationTimeout;
    client_of_[number] = client_index;
    Duration delay(0.1 + random_fraction());
    net_->later(client.target - 1, delay, tagged(kClientOperation, number));
}

void RaftSimulation::execute(raft::NodeId id, std::uint64_t operation_number) {
    const RegisterOperation& operation = operations_[std::size_t(operation_number - 1)];
    if (operation.responded_at != RegisterOperation::kNoResponse) return;
    bool is_read = operation.kind == RegisterOperation::Kind::Read;
    checker_.on_request(operation_number, is_read);
    if (is_read) return execute_read(id, operation_number);
    std::string command = RegisterMap::command(operation);
    on_event(id, local_time(id), raft::Propose{operation_number, command});
    if (!settings_.mutation.responds_early || !up(id) || core(id).role() != raft::Role::Leader) return;
    RegisterMap uncommitted = server(id).state;
    complete(operation_number, {uncommitted.apply(command), true});
}

void RaftSimulation::execute_read(raft::NodeId id, std::uint64_t operation_number) {
    bool local = settings_.mutation.serves_local_reads && core(id).role() == raft::Role::Leader;
    if (!local) return on_event(id, local_time(id), raft::ReadIndex{operation_number});
    raft::Actions actions{raft::ReadReady{operation_number, core(id).commit_index()}};
    checker_.on_event({id, &core(id), &disk(id)}, actions, {});
    carry_out(id, actions);
}

void RaftSimulation::complete(std::uint64_t operation_number, const OperationResult& result) {
    if (operation_number == 0 || operation_number > operations_.size()) return;
    RegisterOperation& operation = operations_[std::size_t(operation_number - 1)];
    if (operation.responded_at != RegisterOperation::kNoResponse) return;
    if (result.response) {
        operation.responded_at = net_->now().time_since_epoch().count();
        operation.response = *result.response;
        ++counts_["operations completed"];
    } else if (!result.possibly_executed) {
        not_executed_[std::size_t(operation_number - 1)] = true;
    }
    auto waiting = client_of_.find(operation_number);
    if (waiting == client_of_.end()) return;
    Client& client = clients_[waiting->second];
    client.operation.reset();
    client.next_operation_at = net_->now() + settings_.think_time * (0.5 + random_fraction());
    client_of_.erase(waiting);
}

}  // namespace ochrehub::lab
