#include "discovery/server_list.h"

namespace ochrehub {

ServerList read_server_list(const std::vector<std::string_view>& pairs, const Names& names, Report* report) {
    PairReader in(pairs, report);
    ServerList list;
    list.revision = in.whole<std::uint64_t>("revision");
    list.complete = in.flag_or("complete", false);
    auto count = in.whole<std::size_t>("members.count");
    for (std::size_t i = 0; i < count; ++i) {
        std::string at = "members." + std::to_string(i) + ".";
        ServerList::Member& member = list.members.emplace_back();
        member.id = in.text(at + "id");
        member.address = in.find(at + "host_port").value_or("");
        member.entry =
            make_entry(names, in.find(at + "locality").value_or(""), in.find(at + "flavor").value_or(""));
        member.entry.cell = in.find(at + "cell") ? in.whole<int>(at + "cell") : kNone;
        member.entry.phase = in.word<Phase>(
            at + "phase",
            {{"in_service", Phase::Ready}, {"terminating", Phase::Draining}, {"terminated", Phase::Removed}});
        member.entry.weight = in.real_or(at + "size", 1);
        set_last_start(member.entry, in.real_or(at + "up_since_ms", 0));
    }
    return list;
}

}  // namespace ochrehub
