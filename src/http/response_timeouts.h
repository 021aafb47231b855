// When a response that has begun is passed on to the client, and which silence of its server ends it.
// Everything that decides on either is here. Reads no clock and no socket: its connection reports what
// arrives.
//
// A response whose head gives a length that one buffer holds is short: it is held whole and counts by its
// last byte. Any other is passed on in part, and counts by its first bytes once it is longer than a buffer:
//
//                      short               length not known          longer than a buffer
//   passed on          whole               kHoldTime behind its first byte and with the first byte of its
//                                          body, whether more comes or not; kPassOnMargin before the
//                                          request's time with its head alone
//   given up while     silent for          silent for `long_stall`, or for kMaxPause where that is more:
//   held               `stall`             another server may be tried
//   ended once         -                   kEndMargin behind the      silent for kMaxStreamStall
//   passed on                              request's time, where it
//                                          is silent for kMaxPause
//
// A pause of kMaxPause is sound: servers write in lumps and stand still in between. So no shorter silence
// ends what may be longer than a buffer, and the request's time alone never does. But a response that turns
// out to be short has its end within half a second of that time, though its head did not say how short it is.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace ochrehub::http {

/// How much the head and the body so far say of a response's length.
enum class ResponseLength { Short, Unknown, Long };

class ResponseTimeouts {
public:
    using Steady = std::chrono::steady_clock;
    using Time = Steady::time_point;

    struct Policy {
        /// Silence that ends a short response, or one that is never passed on in part; zero: none does.
        Steady::duration stall{};
        /// The same of a response that may be longer than a buffer, while nothing of it has been passed on.
        Steady::duration long_stall{};
        /// A response of unknown length ends behind its request's time. Where it may go on for as long as its
        /// server likes, it ends like a long one.
        bool ends_with_request = false;
    };

    static constexpr std::chrono::milliseconds kHoldTime{50};
    static constexpr std::chrono::milliseconds kPassOnMargin{20};
    /// Lumps up to half a second apart, and a server that stands still for 0.14 s.
    static constexpr std::chrono::milliseconds kMaxPause{650};
    static constexpr std::chrono::milliseconds kEndMargin{400};
    static constexpr std::chrono::milliseconds kMaxStreamStall{10000};
    /// Of a response of unknown length behind its request's time: fewer bytes in kMaxPause are silence.
    static constexpr std::uint64_t kMinProgress = 1024;

    /// A further exchange begins; its request's time is not known yet.
    void reset(const Policy& policy);
    /// The request's time ends then. Not known while a request's body is still to come.
    void set_deadline(Time deadline) { deadline_ = deadline; }

    /// The first byte of a response has come.
    void begun(Time now);
    /// Of its body so much has come in all.
    void received(Time now, std::uint64_t body_bytes);
    /// It is passed on from now on. Where its request's time is not known, it has `patience` from now.
    void passed_on(Time now, Steady::duration patience);
    /// The server was not waited for: whoever takes the response was slow.
    void resumed(Time now);

    /// When what has come so far has to be passed on; none: it waits for more, or cannot be passed on in
    /// part.
    std::optional<Time> pass_on_at(ResponseLength length, bool body_begun) const;
    /// When the response ends, unless more of it comes; none: nothing but its reader's end does.
    std::optional<Time> stalled_at(ResponseLength length) const;

private:
    Policy policy_;
    std::optional<Time> deadline_;
    Time begun_{};
    Time last_byte_{};
    Time last_progress_{};  // kMinProgress has come since
    std::uint64_t body_bytes_ = 0, bytes_at_progress_ = 0;
    bool passed_on_ = false;
};

}  // namespace ochrehub::http
