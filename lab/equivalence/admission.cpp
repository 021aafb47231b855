// Decisions of admission control, of the Retry-After given to rejected clients and of the load state, on
// random requests: an overload, clients that retry too early, and servers that slow down and leave.
#include "admission/admission.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <random>
#include <vector>

#include "lab/equivalence/runner.h"
#include "lab/record/decision_recorder.h"

using namespace ochrehub;

namespace {

enum class Call : std::uint8_t { Admit, Complete, RejectLater, RejectConnection, ConnectionOpened, Poll };

/// A call of admission control.
struct Event {
    Call call{};
    int class_index = 0;
    int tenant = 0;
    bool is_retry = false;
    std::uint64_t client = 0;
};
/// Its result as a number, and the state afterwards.
struct Decision {
    double value = 0;
    std::uint64_t open = 0;
    std::uint8_t state = 0;
};

struct OpenRequest {
    AdmissionController::AdmissionRequest request;
    TimePoint since{};
    TimePoint end{};
};

constexpr int kClasses = 4;
constexpr int kTenants = 3;
constexpr int kSteps = 20'000;

void run_random_requests(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    auto uniform = [&random] { return double(random() >> 11) * 0x1p-53; };
    AdmissionController::Settings settings;
    settings.priority_weights = {5, 3, 8, 3};
    settings.request_timeouts = {Duration{1000}, Duration{300}, Duration{2000}, Duration{1000}};
    settings.tenant_shares = {0.5, 0.3, 0.2};
    settings.max_connections = 60 + 40 * (seed % 4);
    settings.max_retry_after = Duration{seed % 3 == 0 ? 30'000.0 : 1200.0};
    settings.seed = seed;
    AdmissionController admission(settings);
    std::deque<OpenRequest> open;
    TimePoint now{Duration{1e6}};
    auto record = [&](const Event& event, double value) {
        lab::record_decision("admission", now, event,
                             std::vector<Decision>{{value, admission.open_requests(),
                                                    std::uint8_t(admission.load_state().state())}});
    };
    for (int step = 0; step < kSteps; ++step) {
        // Normal load, then an overload, then slow servers, then normal load again.
        const int phase = step * 4 / kSteps;
        now += Duration{(phase == 1 ? 0.5 : 4.0) * uniform()};
        while (!open.empty() && open.front().end <= now) {
            const OpenRequest request = open.front();
            open.pop_front();
            const bool served = uniform() < (phase == 2 ? 0.6 : 0.98);
            admission.complete(now, request.request, served, now - request.since, now - request.since);
            record({Call::Complete, request.request.class_index, request.request.tenant,
                    request.request.is_retry, request.request.client_id},
                   served);
        }
        AdmissionController::AdmissionRequest request;
        request.class_index = int(random() % kClasses);
        request.tenant = random() % 10 == 0 ? kNone : int(random() % kTenants);
        request.is_retry = uniform() < (phase == 1 ? 0.5 : 0.05);
        request.client_id = random() % 200;
        Event event{Call::Admit, request.class_index, request.tenant, request.is_retry, request.client_id};
        const auto rejected = admission.admit(now, request);
        record(event, rejected ? rejected->count() : -1);
        if (!rejected) {
            const double latency_ms = (phase == 2 ? 400 : 60) * (0.5 + uniform());
            open.push_back({request, now, now + Duration{latency_ms}});
        }
        if (step % 17 == 0) {
            event.call = Call::RejectLater;
            record(event, admission.reject(now, request).count());
        }
        if (step % 23 == 0) {
            event.call = Call::RejectConnection;
            record(event, admission.reject_connection(now, request).count());
        }
        if (step % 5 == 0) {
            event.call = Call::ConnectionOpened;
            admission.connection_opened(now);
            record(event, 0);
        }
        if (step % 50 == 0) {
            event.call = Call::Poll;
            const auto change = admission.poll_state_change(now);
            record(event, change ? double(change->to) : -1);
        }
    }
}

}  // namespace

int main(int argc, char** argv) {
    return lab::equivalence::run(argc, argv, {{"admission_random", run_random_requests}});
}
