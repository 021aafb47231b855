// A callable that is run once, kept in place: what schedulers hold by the hundred thousand.
#pragma once

#include <cstddef>
#include <cstring>
#include <new>
#include <type_traits>
#include <utility>

namespace ochrehub {

/// As std::function<void()>, but it moves only and its captures stay inside it. One that does not fit does
/// not compile: a heap allocation a timer is what this guards against.
class Task {
public:
    static constexpr std::size_t kRoom = 56;

    Task() = default;
    template <class F, class = std::enable_if_t<!std::is_same_v<std::decay_t<F>, Task>>>
    Task(F&& from) {  // NOLINT: any callable is a task
        using Held = std::decay_t<F>;
        static_assert(sizeof(Held) <= kRoom && alignof(Held) <= alignof(std::max_align_t));
        static_assert(std::is_nothrow_move_constructible_v<Held>);
        ::new (static_cast<void*>(room_)) Held(std::forward<F>(from));
        if constexpr (std::is_trivially_copyable_v<Held>) {
            static constexpr Verbs kVerbs{[](void* held) { (*static_cast<Held*>(held))(); }, nullptr,
                                          nullptr};
            verbs_ = &kVerbs;
        } else {
            static constexpr Verbs kVerbs{[](void* held) { (*static_cast<Held*>(held))(); },
                                          [](void* held, void* to) {
                                              auto* was = static_cast<Held*>(held);
                                              ::new (to) Held(std::move(*was));
                                              was->~Held();
                                          },
                                          [](void* held) { static_cast<Held*>(held)->~Held(); }};
            verbs_ = &kVerbs;
        }
    }
    Task(Task&& other) noexcept { take(other); }
    Task& operator=(Task&& other) noexcept {
        if (this != &other) {
            drop();
            take(other);
        }
        return *this;
    }
    ~Task() { drop(); }

    explicit operator bool() const { return verbs_ != nullptr; }
    void operator()() { verbs_->call(room_); }

private:
    /// No move: its bytes are copied; no destroy: there is nothing to do. Most captures are a pointer and
    /// numbers.
    struct Verbs {
        void (*call)(void*);
        void (*move)(void*, void*);
        void (*destroy)(void*);
    };

    void take(Task& other) noexcept {
        verbs_ = std::exchange(other.verbs_, nullptr);
        if (!verbs_) return;
        if (verbs_->move)
            verbs_->move(other.room_, room_);
        else
            std::memcpy(room_, other.room_, kRoom);
    }
    void drop() {
        const Verbs* verbs = std::exchange(verbs_, nullptr);
        if (verbs && verbs->destroy) verbs->destroy(room_);
    }

    const Verbs* verbs_ = nullptr;
    alignas(std::max_align_t) std::byte room_[kRoom];
};

}  // namespace ochrehub
