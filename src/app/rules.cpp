#include "app/rules.h"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "base/address.h"
#include "base/log.h"
#include "ochrehub/hash.h"

namespace ochrehub::app {
namespace {

namespace asio = boost::asio;

/// As the operators' file has them. Empty where one is none: `why`.
std::vector<rewrite::Rule> read_rules(const config_distribution::Headers& headers, std::string& why) {
    std::vector<rewrite::Rule> out;
    for (const config_distribution::HeaderRule& r : headers.rules) {
        if (r.action != config_distribution::HeaderAction::Add)
            out.push_back({true, rewrite::Rule::Verb::Drop, r.name, {}, "*", "*"});
        if (r.action != config_distribution::HeaderAction::Remove)
            out.push_back({true, rewrite::Rule::Verb::Add, r.name, r.value, "*", "*"});
        rewrite::Rule read;
        std::string bad = rewrite::read_rule("in drop " + r.name, nullptr, read);
        if (!bad.empty()) why = "a rule " + bad;
    }
    return out;
}

std::string check(const config_distribution::Document& document) {
    std::string why;
    if (const auto* headers = std::get_if<config_distribution::Headers>(&document.content)) {
        read_rules(*headers, why);
        return why;
    }
    const auto* servers = std::get_if<config_distribution::Servers>(&document.content);
    if (servers && servers->source == config_distribution::ListSource::Operator) return {};
    return "nothing in this release of the node acts on it";
}

}  // namespace

config::Table<KeepersTold> keepers_settings() {
    return {
        config::flag({.name = "on", .fallback = "off", .help = "the switch; the section alone turns it on"},
                     &KeepersTold::on),
        {{.name = "ask",
          .kind = config::Kind::Texts,
          .help = "addresses of some keepers, `a.b.c.d:port`; others are learnt"},
         [](KeepersTold& told, std::string_view value) -> std::string {
             auto found = parse_address(value);
             if (!found || found->port() == 0) return "is not an address a.b.c.d:port";
             told.ask.emplace_back(value);
             return {};
         }},
        config::text({.name = "cluster", .fallback = "ochrehub", .help = "the keepers' cluster"},
                     &KeepersTold::cluster),
        config::text({.name = "key_file",
                      .help = "a key a line, the first signs, as keepers have them; read again on SIGHUP"},
                     &KeepersTold::key_file),
        config::text({.name = "folder",
                      .help = "where the last versions in force are kept over restarts; without it none are"},
                     &KeepersTold::folder),
        config::number<KeepersTold, double>(
            {.name = "lease_ms",
             .fallback = "3000",
             .help = "without a keeper for so long its permits are over, 1000 to 60000"},
            1000, 60000, config::kMilliseconds,
            [](KeepersTold& told, double ms) { told.lease = Duration{ms}; }),
        config::number<KeepersTold, double>(
            {.name = "stated_ms",
             .fallback = "0",
             .help =
                 "the longest that `quick` documents may contradict each other; 0: what `lease_ms` makes it"},
            0, 600000, config::kMilliseconds, [](KeepersTold& told, double ms) { told.stated = ms; })};
}

Rules::Rules(asio::io_context& io, Clock clock, const KeepersTold& told, const std::string& name,
             const std::string& zone, Node node)
    : io_(io),
      clock_(clock),
      node_(std::move(node)),
      acting_([this](const std::string& document, const config_distribution::EffectiveConfig& acted) {
          changed(document, acted);
      }),
      ends_(io) {
    coordinator::SessionThreadSettings set;
    set.session.coordinators = told.ask, set.session.name = name, set.session.zone = zone,
    set.session.lease = told.lease;
    set.session.release = 1, set.session.min_schema = set.session.max_schema = 1;
    set.cluster = told.cluster, set.keys = told.keys;
    session_.emplace(std::move(set), clock);
    side_.emplace(*session_, clock, told.folder, acting_,
                  config_distribution::ConfigSubscriberThread::Callbacks{
                      check, [this](std::function<void()> what) {
                          asio::post(io_, [this, what = std::move(what)] {
                              what();
                              arm();
                          });
                      }});
}

Rules::~Rules() {
    side_->stop();
    session_.reset();
}

void Rules::start() {
    session_->start();
}

/// Where nothing is decided either, what a permit's end means happens in time.
void Rules::arm() {
    if (acting_.next_expiry() == armed_) return;
    armed_ = acting_.next_expiry();
    if (armed_ == TimePoint::max()) return;
    ends_.expires_at(clock_.steady(armed_));
    ends_.async_wait([this](boost::system::error_code stopped) {
        if (stopped) return;
        armed_ = TimePoint::max();
        look();
        arm();
    });
}

void Rules::changed(const std::string& document, const config_distribution::EffectiveConfig& acted) {
    std::string detail = document + " " + std::to_string(acted.version) + " " +
                         std::string(config_distribution::name(acted.mode));
    log(LogLevel::Info, "rules:",
        {{"document", document},
         {"version", std::to_string(acted.version)},
         {"acts", std::string(config_distribution::name(acted.mode))}});
    node_.record(detail);
    if (!acted.content) return;
    std::string why;
    if (const auto* headers = std::get_if<config_distribution::Headers>(acted.content.get())) {
        header_rules_[document] = read_rules(*headers, why);
        join_rewrites();
    }
    if (const auto* hand = std::get_if<config_distribution::Servers>(acted.content.get());
        hand && hand->source == config_distribution::ListSource::Operator) {
        hands_[document] = *hand;
        servers();
    }
}

/// Servers that are used last are out as long as another is in.
void Rules::servers() {
    std::set<std::string> out, last;
    bool all_last = false;
    for (const auto& [document, hand] : hands_) {
        all_last |= hand.partial;
        for (const config_distribution::Server& s : hand.servers) {
            if (s.use == config_distribution::ServerUse::Out ||
                s.use == config_distribution::ServerUse::Unspecified)
                out.insert(s.name);
            if (s.use == config_distribution::ServerUse::LastResort) last.insert(s.name);
        }
    }
    bool others = !all_last && std::any_of(listed_.begin(), listed_.end(), [&](const std::string& id) {
        return !out.contains(id) && !last.contains(id);
    });
    if (others) out.insert(last.begin(), last.end());
    std::set<std::uint64_t> keys;
    for (const std::string& id : out) keys.insert(hashed(id));
    TimePoint now = clock_.now();
    for (std::uint64_t key : keys)
        if (!rules_out_.contains(key) && !desk_out_.contains(key)) node_.by_hand(key, true, now);
    for (std::uint64_t key : rules_out_)
        if (!keys.contains(key) && !desk_out_.contains(key)) node_.by_hand(key, false, now);
    rules_out_ = std::move(keys);
}

void Rules::listed(const EndpointList& listing) {
    if (listing.update.kind == UpdateKind::Failed) return;
    if (listing.update.kind != UpdateKind::Delta) listed_.clear();
    for (std::size_t i = 0; i < listing.ids.size() && i < listing.update.entries.size(); ++i) {
        if (listing.update.entries[i].phase == Phase::Ready)
            listed_.insert(listing.ids[i]);
        else
            listed_.erase(listing.ids[i]);
    }
    if (!hands_.empty()) servers();
}

void Rules::by_desk(std::uint64_t key, bool out, TimePoint since) {
    if (out)
        desk_out_.insert(key);
    else
        desk_out_.erase(key);
    if (!rules_out_.contains(key)) node_.by_hand(key, out, since);
}

void Rules::own_rewrites(const rewrite::Rewrites& own) {
    own_ = own;
    join_rewrites();
}

void Rules::join_rewrites() {
    rewrite::Rewrites all = own_;
    if (!own_.on) all.rules.clear(), all.forwarded = false;
    for (const auto& [document, rules] : header_rules_)
        all.rules.insert(all.rules.end(), rules.begin(), rules.end());
    bool any = own_.on || !all.rules.empty();
    joined_ = any ? std::make_shared<const rewrite::Rewrites>(std::move(all)) : nullptr;
}

std::shared_ptr<const rewrite::Rewrites> Rules::rewrites() {
    auto stands = std::make_shared<rewrite::Rewrites>();
    stands->on = true;
    stands->now = [this] {
        look();
        return joined_;
    };
    return stands;
}

}  // namespace ochrehub::app
