// State machines with one planted fault each.
#include <config_distribution.pb.h>

#include <set>

#include "lab/config_distribution/simulated_processes.h"

namespace ochrehub::lab {
namespace {

namespace wire = config_distribution::wire;

class MutantStateMachine : public config_distribution::ConfigStateMachine {
public:
    explicit MutantStateMachine(ConfigMutant mutant) : mutant_(mutant) {}

    std::string apply(const coordinator::Command& command) override {
        wire::Command in;
        if (!in.ParseFromArray(command.body.data(), int(command.body.size())))
            return ConfigStateMachine::apply(command);
        if (mutant_ == ConfigMutant::NackAsAck && in.has_said()) in.mutable_said()->set_yes(true);
        std::string body = in.SerializeAsString();
        std::string answer = ConfigStateMachine::apply({command.session, body});
        if (in.has_attend()) sessions_.insert(command.session);
        if (mutant_ == ConfigMutant::SkipsDraining || mutant_ == ConfigMutant::ReleaseByMajority)
            for (const auto& [name, state] : drained()) {
                if (mutant_ == ConfigMutant::ReleaseByMajority && state.waits * 2 > state.all) continue;
                for (coordinator::SessionId id : sessions_)
                    ConfigStateMachine::apply(
                        {id, config_distribution::release_command(name, state.version)});
            }
        return answer;
    }
    void session_ended(coordinator::SessionId session) override {
        sessions_.erase(session);
        ConfigStateMachine::session_ended(session);
    }
    bool restore(std::uint32_t schema, std::string_view bytes) override {
        wire::State state;
        sessions_.clear();
        if (state.ParseFromArray(bytes.data(), int(bytes.size())))
            for (const auto& s : state.sessions())
                if (s.attends()) sessions_.insert(s.id());
        return ConfigStateMachine::restore(schema, bytes);
    }

private:
    struct Drained {
        std::uint64_t version = 0;
        std::size_t waits = 0, all = 0;
    };
    std::map<std::string, Drained> drained() const {
        std::map<std::string, Drained> out;
        auto all = config_distribution::decode_response(query(config_distribution::status_query("")));
        for (const auto& d : all->documents) {
            if (d.phase != config_distribution::Phase::Draining) continue;
            Drained& one = out[d.name];
            one.version = d.next->version, one.all = d.nodes.size();
            for (const auto& node : d.nodes) one.waits += node.blocks_drain;
        }
        return out;
    }
    ConfigMutant mutant_;
    std::set<coordinator::SessionId> sessions_;
};

}  // namespace

coordinator::StateMachineFactory state_machine_factory(ConfigMutant mutant) {
    bool errs = mutant == ConfigMutant::SkipsDraining || mutant == ConfigMutant::ReleaseByMajority ||
                mutant == ConfigMutant::NackAsAck;
    return [=] {
        coordinator::StateMachines out;
        if (errs)
            out.push_back(std::make_unique<MutantStateMachine>(mutant));
        else
            out.push_back(std::make_unique<config_distribution::ConfigStateMachine>());
        return out;
    };
}

}  // namespace ochrehub::lab
