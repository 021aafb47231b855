#include "fleet/coordinator/admin_client.h"

#include <boost/asio/io_context.hpp>
#include <random>

#include "base/asio_scheduler.h"
#include "fleet/channel/mesh.h"

namespace ochrehub::coordinator {

std::map<std::string, std::string> send_to_each(const AdminClientSettings& settings,
                                                const std::vector<std::string>& addresses,
                                                const std::string& ask) {
    boost::asio::io_context io{1};
    AsioScheduler scheduler(io);
    std::random_device device;
    channel::MeshSettings mesh_settings;
    mesh_settings.channel.self.name = "command";
    mesh_settings.channel.self.instance = (std::uint64_t(device()) << 32 | device()) | 1;
    mesh_settings.channel.cluster = fleet::fingerprint(settings.cluster);
    mesh_settings.channel.keys = settings.keys;
    channel::Mesh mesh(io, scheduler, std::nullopt, mesh_settings, device());
    std::map<std::string, std::string> answers;
    auto answered = [&](const std::string& address, std::string body) {
        answers[address] = std::move(body);
        if (answers.size() >= addresses.size()) io.stop();
    };
    mesh.up = [&](const channel::Peer& peer) { mesh.send(peer.instance, channel::Kind::Ask, ask); };
    mesh.deliver = [&](const channel::Peer& peer, channel::Kind kind, std::string body) {
        if (kind != channel::Kind::Answer) return;
        for (const std::string& address : addresses)
            if (mesh.instance_at(address) == peer.instance) return answered(address, std::move(body));
    };
    std::map<std::string, int> failed;
    mesh.unreached = [&](const std::string& address, channel::Error) {
        ++failed[address];  // it is dialled again; a command waits no longer than for a second refusal of
                            // each
        std::size_t settled = answers.size();
        for (const auto& [each, times] : failed) settled += times >= 2 && !answers.contains(each);
        if (settled >= addresses.size()) io.stop();
    };
    scheduler.call_at(scheduler.now() + settings.timeout, [&io] { io.stop(); });
    for (const std::string& address : addresses) mesh.dial(address);
    io.run();
    mesh.close();
    io.restart();
    io.poll();
    return answers;
}

}  // namespace ochrehub::coordinator
