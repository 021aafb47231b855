#include "fleet/config_distribution/config_subscriber_thread.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <exception>
#include <system_error>
#include <utility>

#include "base/log.h"
#include "base/side_thread.h"
#include "fleet/config_distribution/document_file.h"
#include "fleet/store/posix_files.h"

namespace ochrehub::config_distribution {
namespace {

namespace asio = boost::asio;

constexpr const char* kFile = "rules";

void complain(const Failure& failure) {
    log(LogLevel::Warn, "rules:", {{"fault", fleet::sentence(failure)}});
}

}  // namespace

void EffectiveConfigs::take(const Apply& apply, TimePoint now) {
    One& one = documents_[apply.document];
    one.permit = apply.permit;
    one.ended = now >= std::min(one.permit.until, one.permit.most);
    changed_(apply.document, one.permit.at(now));
    find_next();
}
void EffectiveConfigs::take(const Extend& extend) {
    for (auto& [name, one] : documents_)
        if (!one.ended) one.permit.until = extend.until;
    find_next();
}
void EffectiveConfigs::over(TimePoint now) {
    for (auto& [name, one] : documents_)
        if (!one.ended && now >= std::min(one.permit.until, one.permit.most)) {
            one.ended = true;
            changed_(name, one.permit.then);
        }
    find_next();
}
void EffectiveConfigs::find_next() {
    next_ = TimePoint::max();
    for (const auto& [name, one] : documents_)
        if (!one.ended) next_ = std::min({next_, one.permit.until, one.permit.most});
}

ConfigSubscriberThread::ConfigSubscriberThread(coordinator::SessionThread& session, Clock clock,
                                               std::string folder, EffectiveConfigs& acting, Calls calls)
    : session_(session),
      clock_(clock),
      acting_(acting),
      calls_(std::move(calls)),
      work_(io_.get_executor()),
      wake_(io_) {
    std::vector<Document> kept;
    if (!folder.empty()) {
        try {
            files_ = std::make_unique<store::PosixFiles>(folder);
            auto read = load(*files_, kFile);
            if (const auto* bad = std::get_if<Failure>(&read))
                complain(*bad);
            else
                kept = std::get<0>(std::move(read));
        } catch (const std::system_error& bad) {
            complain({Error::FileFailed, bad.what()});
        }
    }
    std::erase_if(kept, [&](const Document& d) { return !calls_.check(d).empty(); });
    Actions actions;
    holder_.emplace(HolderSettings{}, std::move(kept), clock_.now(), actions);
    asio::post(io_, [this, actions = std::move(actions)]() mutable { carry_out(std::move(actions)); });
    session_.add_listener([this](const coordinator::SessionThread::Notification& what) { told(what); });
    thread_ = side_thread(io_, [](const std::exception& bad) {
        log(LogLevel::Error, "rules:", {{"fault", bad.what()}});
    });
}

void ConfigSubscriberThread::stop() {
    io_.stop();
    if (thread_.joinable()) thread_.join();
}

/// On the session's thread. A renewal's news come right behind its Held; that there were none shows with the
/// next one.
void ConfigSubscriberThread::told(const coordinator::SessionThread::Notification& what) {
    if (const auto* held = std::get_if<coordinator::SessionRenewed>(&what)) {
        if (!held_ || held_->session != held->session || !had_news_) renewed(*held, {});
        held_ = *held;
        had_news_ = false;
    } else if (const auto* news = std::get_if<coordinator::SessionUpdate>(&what)) {
        if (news->kind != "rules" || !held_) return;
        had_news_ = true;
        renewed(*held_, news->bytes);
    } else {
        held_.reset();
        asio::post(io_, [this] { handle(Lost{}); });
    }
}

void ConfigSubscriberThread::renewed(const coordinator::SessionRenewed& held, std::string news) {
    asio::post(io_, [this, held, news = std::move(news)] {
        handle(Renewed{held.session, held.until, news});
    });
}

void ConfigSubscriberThread::handle(const Event& event) {
    Actions actions;
    holder_->handle(clock_.now(), event, actions);
    carry_out(std::move(actions));
}

void ConfigSubscriberThread::carry_out(Actions actions) {
    std::vector<std::variant<Apply, Extend>> to_act;
    for (Action& action : actions) {
        if (auto* apply = std::get_if<Apply>(&action)) {
            to_act.emplace_back(std::move(*apply));
        } else if (auto* extend = std::get_if<Extend>(&action)) {
            to_act.emplace_back(*extend);
        } else if (auto* check = std::get_if<Check>(&action)) {
            std::string bad = calls_.check(check->document);
            asio::post(io_, [this, name = check->document.name, version = check->document.version, bad] {
                handle(Verdict{name, version, bad.empty(), bad});
            });
        } else if (auto* say = std::get_if<Say>(&action)) {
            session_.submit("rules", std::move(say->command),
                            [](coordinator::Error, const std::string&) {});  // the news say what came of it
        } else if (auto* write = std::get_if<Write>(&action)) {
            auto bad = files_ ? save(*files_, kFile, write->octets) : std::nullopt;
            if (bad && !std::exchange(complained_, true)) complain(*bad);
        } else if (auto* at = std::get_if<WakeAt>(&action)) {
            wake_.expires_at(clock_.steady(at->at));
            wake_.async_wait([this](boost::system::error_code stopped) {
                if (!stopped) handle(Woken{});
            });
        }
    }
    if (!to_act.empty())
        calls_.post([this, to_act = std::move(to_act)] {
            for (const auto& one : to_act) {
                if (const auto* apply = std::get_if<Apply>(&one)) {
                    acting_.take(*apply, clock_.now());
                    asio::post(io_, [this, serial = apply->serial] { handle(Switched{serial}); });
                } else {
                    acting_.take(std::get<Extend>(one));
                }
            }
        });
    std::string text =
        "# HELP ochrehub_rules_in_force Version of a document that is in force, as far as this node knows\n# "
        "TYPE ochrehub_rules_in_force gauge\n";
    std::string acted =
        "# HELP ochrehub_rules_acted Version that this node acts on, and how\n# TYPE ochrehub_rules_acted "
        "gauge\n";
    for (const auto& s : holder_->status(clock_.now())) {
        text +=
            "ochrehub_rules_in_force{document=\"" + s.document + "\"} " + std::to_string(s.in_force) + "\n";
        acted += "ochrehub_rules_acted{document=\"" + s.document + "\",how=\"" + std::string(name(s.mode)) +
                 "\"} " + std::to_string(s.acted) + "\n";
    }
    acted +=
        "# HELP ochrehub_rules_lapses_total Times that the permit to act on documents ended\n# TYPE "
        "ochrehub_rules_lapses_total counter\nochrehub_rules_lapses_total " +
        std::to_string(holder_->lapses()) + "\n";
    std::lock_guard lock(showing_);
    shown_ = text + acted;
}

std::string ConfigSubscriberThread::figures() const {
    std::lock_guard lock(showing_);
    return shown_;
}

}  // namespace ochrehub::config_distribution
