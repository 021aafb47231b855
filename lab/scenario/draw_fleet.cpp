// Everything of a day but its faults and arrivals.
#include <fmt/format.h>

#include <algorithm>
#include <boost/random/normal_distribution.hpp>
#include <cmath>
#include <numeric>

#include "lab/scenario/drawer.h"

namespace ochrehub::lab::scenario {

double Drawer::number(const Block& block, std::string_view key) const {
    const Value& value = block[key];
    if (value.lo == value.hi) return value.lo;
    return value.lo + unit(block, key) * (value.hi - value.lo);
}

int Drawer::whole(const Block& block, std::string_view key) const {
    const Value& value = block[key];
    if (value.lo == value.hi) return static_cast<int>(value.lo);
    return static_cast<int>(value.lo + std::floor(unit(block, key) * (value.hi - value.lo + 1)));
}

Duration Drawer::time(const Block& block, std::string_view key) const {
    return Duration(number(block, key) * (key.ends_with("_ms") ? 1 : 1000));
}

const std::string& Drawer::choice(const Block& block, std::string_view key) const {
    const std::vector<std::string>& names = block[key].names;
    if (names.size() == 1) return names.front();
    return names[static_cast<std::size_t>(unit(block, key) * static_cast<double>(names.size()))];
}

std::vector<double> Drawer::skews(const Block& block, std::size_t count) const {
    const double skew = number(block, "zone_skew");
    std::vector<double> off(count, 0);
    for (std::size_t i = 0; i < count; ++i)
        off[i] = draws_.stream(block.section->name, "zone_skew of", block.entry, i).unit();
    const double mean = std::accumulate(off.begin(), off.end(), 0.0) / static_cast<double>(count);
    double furthest = 0;
    for (double& each : off) furthest = std::max(furthest, std::abs(each -= mean));
    for (double& each : off) each = 1 + (furthest > 0 ? skew * each / furthest : 0);
    return off;
}

std::vector<double> shares(std::vector<double> weights) {
    const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    for (double& each : weights) each /= sum;
    return weights;
}

std::vector<Block> zones_of(const Scenario::Content& content) {
    std::vector<Block> zones = content.all("zone");
    const auto nodes = static_cast<std::size_t>(std::max(1.0, content.one("nodes")["count"].lo));
    if (!zones.front().given && zones.size() > nodes) zones.resize(nodes);
    return zones;
}

double capacity(const Day& day) {
    double work = 0, cores = 0;
    for (const ClassFigures& each : day.classes) work += each.share * each.work.count();
    for (const ServerFigures& each : day.servers)
        if (each.exists_from.count() == 0) cores += each.cores * each.speed;
    return cores * 1000 / work;
}

namespace {

class FleetDraw {
public:
    FleetDraw(const Scenario::Content& content, std::uint64_t seed, Day& day)
        : content_(content), seed_(seed), drawer_(seed), zones_(zones_of(content)), day_(day) {}

    void all() {
        const Block& day = content_.one("day");
        day_.length = drawer_.time(day, "length_s");
        day_.counted_from = day["counted_from_s"].there ? drawer_.time(day, "counted_from_s")
                                                        : std::min(Duration(1000), day_.length / 4);
        day_.front_notice = drawer_.time(content_.one("front"), "notice_s");
        classes();
        network();
        nodes();
        limits();
        servers();
        day_.capacity_rps = capacity(day_);
        tenants();
        clients();
        discovery();
    }

private:
    std::vector<double> drawn_shares(const std::vector<Block>& blocks, std::string_view key) const {
        std::vector<double> weights;
        weights.reserve(blocks.size());
        for (const Block& block : blocks) weights.push_back(drawer_.number(block, key));
        return shares(std::move(weights));
    }

    void classes() {
        const std::vector<Block>& blocks = content_.all("class");
        const std::vector<double> parts = drawn_shares(blocks, "share");
        for (std::size_t i = 0; i < blocks.size(); ++i) {
            const Block& block = blocks[i];
            ClassFigures& each = day_.classes.emplace_back();
            const std::string &effect = block["effect"].name(), &scope = block["scope"].name();
            each.name = block.entry;
            each.effect = effect == "free"      ? Idempotency::Idempotent
                          : effect == "guarded" ? Idempotency::IdempotentWithKey
                                                : Idempotency::NonIdempotent;
            each.scope = scope == "all"    ? DeduplicationScope::All
                         : scope == "zone" ? DeduplicationScope::Zone
                                           : DeduplicationScope::Cell;
            each.share = parts[i];
            each.work = drawer_.time(block, "work_ms");
            each.wait = drawer_.time(block, "wait_ms");
            each.spread = drawer_.number(block, "spread");
            each.aim = drawer_.time(block, "aim_ms");
            each.give_up = drawer_.time(block, "give_up_ms");
            each.window = drawer_.time(block, "window_ms");
            each.worth = drawer_.number(block, "worth");
            each.late_worth = drawer_.number(block, "late_worth");
        }
    }

    void network() {
        const Block& block = content_.one("network");
        NetworkFigures& network = day_.network;
        const std::size_t count = zones_.size();
        network.ms.assign(count, std::vector<double>(count, drawer_.number(block, "same_ms")));
        const Value& cross = block["cross_ms"];
        for (std::size_t a = 0; a < count; ++a) {
            network.zones.push_back(zones_[a].entry);
            for (std::size_t b = 0; b < a; ++b) {
                // By the names of the pair, so that a further zone shifts no delay.
                const std::string pair = std::min(zones_[a].entry, zones_[b].entry) + " " +
                                         std::max(zones_[a].entry, zones_[b].entry);
                network.ms[a][b] = network.ms[b][a] =
                    cross.lo +
                    drawer_.draws().stream("network", "cross_ms", pair).unit() * (cross.hi - cross.lo);
            }
        }
        network.client_ms = drawer_.number(block, "client_ms");
        network.jitter = drawer_.number(block, "jitter");
        network.datagram_loss = drawer_.number(block, "datagram_loss");
    }

    void nodes() {
        const Block& block = content_.one("nodes");
        std::vector<int> order(zones_.size());
        std::iota(order.begin(), order.end(), 0);
        std::stable_partition(order.begin(), order.end(), [&](int zone) {
            return zones_[static_cast<std::size_t>(zone)]["traffic"].hi > 0;
        });
        day_.nodes.resize(static_cast<std::size_t>(drawer_.whole(block, "count")));
        for (std::size_t i = 0; i < day_.nodes.size(); ++i) {
            day_.nodes[i].zone = order[i % order.size()];
            day_.nodes[i].sockets = static_cast<std::size_t>(drawer_.whole(block, "sockets"));
            day_.nodes[i].memory_mb = static_cast<std::size_t>(drawer_.whole(block, "memory_mb"));
            day_.nodes[i].event_cpu = Duration(drawer_.number(block, "event_cpu_us") / 1000);
        }
    }

    void limits() {
        const Block& block = content_.one("limits");
        Limits& limits = day_.limits;
        limits.max_attempts = drawer_.whole(block, "max_attempts");
        limits.connect_timeout = drawer_.time(block, "connect_timeout_ms");
        limits.conn_idle = drawer_.time(block, "conn_idle_s");
        limits.grace = drawer_.time(block, "grace_ms");
        limits.max_retry_after = drawer_.time(block, "max_retry_after_ms");
        limits.second_copies = drawer_.coin(block, "second_copies");
        limits.cancel = drawer_.coin(block, "cancel");
        limits.probes = drawer_.coin(block, "probes");
        limits.retry_after = drawer_.coin(block, "retry_after");
        limits.must_ask = drawer_.coin(block, "must_ask");
        limits.stop_sending = drawer_.time(block, "stop_sending_ms");
        limits.ask_within = drawer_.time(block, "ask_within_s");
        limits.cold_from = drawer_.number(block, "cold_from");
        limits.cold_time = drawer_.time(block, "cold_s");
        limits.overload_factor = drawer_.number(block, "overload_factor");
        limits.tip_after = drawer_.time(block, "tip_after_ms");
        limits.over_share_worth = drawer_.number(block, "over_share_worth");
        limits.price_probe = drawer_.number(block, "price_probe");
        limits.price_cross_zone = drawer_.number(block, "price_cross_zone");
        limits.price_handshake = drawer_.number(block, "price_handshake");
        limits.price_waste = drawer_.number(block, "price_waste");
        limits.price_late_fail = drawer_.number(block, "price_late_fail");
    }

    /// Whole numbers in proportion to the weights, `count` together.
    static std::vector<std::size_t> divided(std::size_t count, const std::vector<double>& parts) {
        std::vector<std::size_t> whole(parts.size());
        std::vector<std::pair<double, std::size_t>> rests;
        std::size_t given = 0;
        for (std::size_t i = 0; i < parts.size(); ++i) {
            const double exact = parts[i] * static_cast<double>(count);
            given += whole[i] = static_cast<std::size_t>(exact);
            rests.emplace_back(std::floor(exact) - exact, i);
        }
        std::sort(rests.begin(), rests.end());
        for (std::size_t i = 0; given < count; ++i, ++given) ++whole[rests[i % rests.size()].second];
        return whole;
    }

    /// What all servers of a kind have alike.
    ServerFigures model(const Block& kind, int number) const {
        const Block& fleet = content_.one("fleet");
        ServerFigures model;
        model.kind = number;
        model.cores = drawer_.number(kind, "cores");
        model.speed = drawer_.number(kind, "speed");
        model.size = std::round(model.cores * model.speed * 100) / 100;
        auto times_cores = [&](const char* key) {
            return static_cast<int>(std::round(drawer_.whole(kind, key) * model.cores));
        };
        model.slots = std::max(1, times_cores("slots_per_core"));
        model.room = times_cores("room_per_core");
        model.crowd_from = drawer_.number(kind, "crowd_from_per_core") * model.cores;
        model.crowd_cost = drawer_.number(kind, "crowd_cost");
        model.cold_from = drawer_.number(kind, "cold_from");
        model.cold_time = drawer_.time(kind, "cold_s");
        model.error_rate = drawer_.number(kind, "error_rate");
        model.connections_most = drawer_.whole(fleet, "connections_most");
        model.handshake_work = drawer_.time(fleet, "handshake_work_ms");
        model.connections_tax = drawer_.number(fleet, "connections_tax");
        model.report_period = drawer_.time(fleet, "report_period_ms");
        model.report_delay = drawer_.time(fleet, "report_delay_ms");
        model.report_noise = drawer_.number(fleet, "report_noise");
        model.probe_work = drawer_.time(fleet, "probe_work_ms");
        model.probes_most = drawer_.whole(fleet, "probes_per_s");
        model.cancel_running = drawer_.coin(fleet, "cancel_running");
        model.drops_overdue = drawer_.coin(fleet, "drops_overdue");
        model.idle_most = day_.limits.conn_idle;
        return model;
    }

    void servers() {
        const Block& fleet = content_.one("fleet");
        const std::vector<Block>& kinds = content_.all("kind");
        const auto count = static_cast<std::size_t>(drawer_.whole(fleet, "servers"));

        std::vector<double> weights = drawer_.skews(fleet, zones_.size());
        for (std::size_t i = 0; i < zones_.size(); ++i) weights[i] *= drawer_.number(zones_[i], "servers");
        const std::vector<std::size_t> in_zone = divided(count, shares(weights));
        const std::vector<std::size_t> of_kind = divided(count, drawn_shares(kinds, "share"));

        std::vector<ServerFigures> models;
        for (std::size_t i = 0; i < kinds.size(); ++i) {
            day_.kinds.push_back(kinds[i].entry);
            models.push_back(model(kinds[i], static_cast<int>(i)));
        }
        // Kinds are dealt out over the places of the fleet by lot, zones and cells in one piece.
        std::vector<std::size_t> kind_at;
        for (std::size_t i = 0; i < kinds.size(); ++i) kind_at.insert(kind_at.end(), of_kind[i], i);
        Stream lots = drawer_.draws().stream("fleet", "kinds");
        for (std::size_t i = kind_at.size(); i > 1; --i)
            std::swap(kind_at[i - 1],
                      kind_at[static_cast<std::size_t>(lots.unit() * static_cast<double>(i))]);

        const Value& cell_size = fleet["cell_size"];
        const auto cold = static_cast<std::size_t>(
            std::round(drawer_.number(fleet, "cold_part") * static_cast<double>(count)));
        int cell = 0;
        std::vector<std::pair<double, std::size_t>> coldness;
        for (std::size_t zone = 0; zone < zones_.size(); ++zone) {
            const std::size_t here = in_zone[zone];
            if (here == 0) continue;
            const auto cells = static_cast<int>(cells_for(here, cell_size));
            for (std::size_t i = 0; i < here; ++i) {
                const std::size_t place = day_.servers.size(), kind = kind_at[place];
                ServerFigures& server = day_.servers.emplace_back(models[kind]);
                server.id = fresh_id(seed_, place);
                server.zone = static_cast<int>(zone);
                server.cell = cell + static_cast<int>(i * static_cast<std::size_t>(cells) / here);
                server.speed *= speed_factor(drawer_, kinds[kind], fmt::format("{}", place));
                coldness.emplace_back(drawer_.draws().stream("fleet", "cold_part of", "", place).unit(),
                                      place);
            }
            cell += cells;
        }
        std::sort(coldness.begin(), coldness.end());
        for (std::size_t i = 0; i < cold; ++i) day_.servers[coldness[i].second].starts_cold = true;
    }

    /// As many cells as keep each between the bounds, where the number of servers allows that.
    static std::size_t cells_for(std::size_t servers, const Value& size) {
        const double here = static_cast<double>(servers), middle = (size.lo + size.hi) / 2;
        const double least = std::ceil(here / std::floor(size.hi)),
                     most = std::floor(here / std::ceil(size.lo));
        const double cells = std::max(least, std::min(std::round(here / middle), most));
        return static_cast<std::size_t>(std::max(1.0, cells));
    }

    void tenants() {
        const std::vector<Block>& blocks = content_.all("tenant");
        const std::vector<double> parts = drawn_shares(blocks, "share");
        const double quotas = drawer_.number(content_.one("load"), "quota_of_capacity") * day_.capacity_rps;
        for (std::size_t i = 0; i < blocks.size(); ++i)
            day_.tenants.push_back(
                {blocks[i].entry, parts[i], drawer_.number(blocks[i], "usage"), parts[i] * quotas});
    }

    void clients() {
        const Block& block = content_.one("clients");
        ClientFigures& clients = day_.clients;
        clients.tries = drawer_.whole(block, "tries");
        clients.try_share = drawer_.number(block, "try_share");
        const Duration wait = drawer_.time(block, "backoff_ms");
        clients.retry_after_wait = drawer_.choice(block, "backoff") == "fixed" ? wait : Duration(0);
        clients.honours = drawer_.number(block, "honours");
        clients.most_honoured = day_.limits.max_retry_after;
        clients.impatient = drawer_.number(block, "impatient");
        clients.marks_repeats = drawer_.coin(block, "marks_repeats");
        clients.connections_kept = drawer_.whole(block, "connections_kept");
        clients.once = drawer_.number(block, "once");
        clients.population = drawer_.whole(block, "population");
        clients.think = drawer_.time(block, "think_ms");
        clients.think_spread = drawer_.number(block, "think_spread");
        if (block["again_ms"].there) clients.again = drawer_.time(block, "again_ms");
    }

    void discovery() {
        const Block& block = content_.one("discovery");
        DiscoveryFigures& discovery = day_.discovery;
        discovery.notice = drawer_.time(block, "notice_s");
        discovery.silent_notice = drawer_.time(block, "silent_notice_s");
        discovery.add = drawer_.time(block, "add_s");
        discovery.calls_per_s = drawer_.number(block, "calls_per_s");
        discovery.call_most = drawer_.time(block, "call_most_ms");
        discovery.watch_most = drawer_.time(block, "watch_most_s");
    }

    const Scenario::Content& content_;
    std::uint64_t seed_;
    Drawer drawer_;
    std::vector<Block> zones_;
    Day& day_;
};

}  // namespace

double speed_factor(const Drawer& drawer, const Block& kind, const std::string& server) {
    const double cv = drawer.number(kind, "speed_cv");
    if (cv <= 0) return 1;
    Stream stream = drawer.draws().stream("kind", "speed of", server);
    const double sigma = std::sqrt(std::log1p(cv * cv));
    const double normal = boost::random::normal_distribution<double>()(stream);
    return std::clamp(std::exp(sigma * normal - sigma * sigma / 2), 0.5, 2.0);
}

std::string fresh_id(std::uint64_t seed, std::size_t place) {
    // Four rounds of a Feistel network over 32 bits: ids tell nothing of place or age and none comes twice.
    std::uint32_t left = (place >> 16) & 0xffff, right = place & 0xffff;
    for (std::uint64_t round = 0; round < 4; ++round) {
        const std::uint32_t next = left ^ (mixed(mixed(seed + 1) + (round << 32) + right) & 0xffff);
        left = right;
        right = next;
    }
    return fmt::format("s-{:08x}", (left << 16) | right);
}

void draw_fleet(const Scenario::Content& content, std::uint64_t seed, Day& day) {
    FleetDraw(content, seed, day).all();
}

}  // namespace ochrehub::lab::scenario
