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

constexpr const char* kFileName = "rules";

void log_failure(const Failure& failure) {
    log(LogLevel::Warn, "rules:", {{"fault", fleet::sentence(failure)}});
}

}  // namespace

void EffectiveConfigs::apply(const ApplyConfig& action, TimePoint now) {
    Entry& entry = documents_[action.document];
    entry.lease = action.lease;
    entry.expired = now >= std::min(entry.lease.expires_at, entry.lease.canary_ends_at);
    on_change_(action.document, entry.lease.at(now));
    update_next_expiry();
}
void EffectiveConfigs::extend(const ExtendLeases& action) {
    for (auto& [name, entry] : documents_)
        if (!entry.expired) entry.lease.expires_at = action.expires_at;
    update_next_expiry();
}
void EffectiveConfigs::expire(TimePoint now) {
    for (auto& [name, entry] : documents_)
        if (!entry.expired && now >= std::min(entry.lease.expires_at, entry.lease.canary_ends_at)) {
            entry.expired = true;
            on_change_(name, entry.lease.after_expiry);
        }
    update_next_expiry();
}
void EffectiveConfigs::update_next_expiry() {
    next_expiry_ = TimePoint::max();
    for (const auto& [name, entry] : documents_)
        if (!entry.expired)
            next_expiry_ = std::min({next_expiry_, entry.lease.expires_at, entry.lease.canary_ends_at});
}

ConfigSubscriberThread::ConfigSubscriberThread(coordinator::SessionThread& session, Clock clock,
                                               std::string folder, EffectiveConfigs& configs,
                                               Callbacks callbacks)
    : session_(session),
      clock_(clock),
      configs_(configs),
      callbacks_(std::move(callbacks)),
      work_guard_(io_.get_executor()),
      timer_(io_) {
    std::vector<Document> stored;
    if (!folder.empty()) {
        try {
            files_ = std::make_unique<store::PosixFiles>(folder);
            auto read = load(*files_, kFileName);
            if (const auto* bad = std::get_if<Failure>(&read))
                log_failure(*bad);
            else
                stored = std::get<0>(std::move(read));
        } catch (const std::system_error& bad) {
            log_failure({Error::FileFailed, bad.what()});
        }
    }
    std::erase_if(stored, [&](const Document& d) { return !callbacks_.check(d).empty(); });
    Actions actions;
    subscriber_.emplace(ConfigSubscriberSettings{}, std::move(stored), clock_.now(), actions);
    asio::post(io_, [this, actions = std::move(actions)]() mutable { execute(std::move(actions)); });
    session_.add_listener([this](const coordinator::SessionThread::Notification& notification) {
        on_notification(notification);
    });
    thread_ = side_thread(io_, [](const std::exception& bad) {
        log(LogLevel::Error, "rules:", {{"fault", bad.what()}});
    });
}

void ConfigSubscriberThread::stop() {
    io_.stop();
    if (thread_.joinable()) thread_.join();
}

/// Runs on the session's thread. SessionUpdate follows its SessionRenewed; a renewal without one is
/// recognized at the next renewal.
void ConfigSubscriberThread::on_notification(const coordinator::SessionThread::Notification& notification) {
    if (const auto* renewal = std::get_if<coordinator::SessionRenewed>(&notification)) {
        if (!last_renewal_ || last_renewal_->session != renewal->session || !had_update_)
            on_renewal(*renewal, {});
        last_renewal_ = *renewal;
        had_update_ = false;
    } else if (const auto* update = std::get_if<coordinator::SessionUpdate>(&notification)) {
        if (update->kind != "rules" || !last_renewal_) return;
        had_update_ = true;
        on_renewal(*last_renewal_, update->bytes);
    } else {
        last_renewal_.reset();
        asio::post(io_, [this] { handle(SessionLost{}); });
    }
}

void ConfigSubscriberThread::on_renewal(const coordinator::SessionRenewed& renewal, std::string update) {
    asio::post(io_, [this, renewal, update = std::move(update)] {
        handle(LeaseRenewed{renewal.session, renewal.until, update});
    });
}

void ConfigSubscriberThread::handle(const Event& event) {
    Actions actions;
    subscriber_->handle(clock_.now(), event, actions);
    execute(std::move(actions));
}

void ConfigSubscriberThread::execute(Actions actions) {
    std::vector<std::variant<ApplyConfig, ExtendLeases>> posted;
    for (Action& action : actions) {
        if (auto* apply = std::get_if<ApplyConfig>(&action)) {
            posted.emplace_back(std::move(*apply));
        } else if (auto* extend = std::get_if<ExtendLeases>(&action)) {
            posted.emplace_back(*extend);
        } else if (auto* check = std::get_if<CheckDocument>(&action)) {
            std::string bad = callbacks_.check(check->document);
            asio::post(io_, [this, name = check->document.name, version = check->document.version, bad] {
                handle(CheckCompleted{name, version, bad.empty(), bad});
            });
        } else if (auto* send = std::get_if<SendCommand>(&action)) {
            session_.submit("rules", std::move(send->command), [](coordinator::Error, const std::string&) {
            });  // the next update shows the result
        } else if (auto* write = std::get_if<WriteFile>(&action)) {
            auto bad = files_ ? save(*files_, kFileName, write->bytes) : std::nullopt;
            if (bad && !std::exchange(file_error_logged_, true)) log_failure(*bad);
        } else if (auto* at = std::get_if<SetTimer>(&action)) {
            timer_.expires_at(clock_.steady(at->at));
            timer_.async_wait([this](boost::system::error_code stopped) {
                if (!stopped) handle(TimerFired{});
            });
        }
    }
    if (!posted.empty())
        callbacks_.post([this, posted = std::move(posted)] {
            for (const auto& entry : posted) {
                if (const auto* apply = std::get_if<ApplyConfig>(&entry)) {
                    configs_.apply(*apply, clock_.now());
                    asio::post(io_, [this, serial = apply->serial] { handle(ConfigApplied{serial}); });
                } else {
                    configs_.extend(std::get<ExtendLeases>(entry));
                }
            }
        });
    std::string text =
        "# HELP ochrehub_rules_in_force Version of a document that is in force, as far as this node knows\n# "
        "TYPE ochrehub_rules_in_force gauge\n";
    std::string effective =
        "# HELP ochrehub_rules_acted Version that this node acts on, and how\n# TYPE ochrehub_rules_acted "
        "gauge\n";
    for (const auto& s : subscriber_->status(clock_.now())) {
        text +=
            "ochrehub_rules_in_force{document=\"" + s.document + "\"} " + std::to_string(s.in_force) + "\n";
        effective += "ochrehub_rules_acted{document=\"" + s.document + "\",how=\"" +
                     std::string(name(s.mode)) + "\"} " + std::to_string(s.effective_version) + "\n";
    }
    effective +=
        "# HELP ochrehub_rules_lapses_total Times that the lease on documents expired\n# TYPE "
        "ochrehub_rules_lapses_total counter\nochrehub_rules_lapses_total " +
        std::to_string(subscriber_->lease_expirations()) + "\n";
    std::lock_guard lock(metrics_mutex_);
    metrics_ = text + effective;
}

std::string ConfigSubscriberThread::metrics() const {
    std::lock_guard lock(metrics_mutex_);
    return metrics_;
}

}  // namespace ochrehub::config_distribution
