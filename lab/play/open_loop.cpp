#include "lab/play/open_loop.h"

#include <fmt/format.h>
#include <time.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cmath>
#include <cstring>
#include <deque>
#include <exception>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "lab/play/forms.h"
#include "lab/play/latency_counts.h"

namespace ochrehub::lab {

namespace asio = boost::asio;
using boost::system::error_code;
using Steady = std::chrono::steady_clock;

namespace {

constexpr std::chrono::microseconds kStep{
    50};  // between looks at what is due: it is part of the latency counted
constexpr std::chrono::milliseconds kLastStep{1};  // when nothing more will be due
constexpr std::size_t kBuffer = 8 * 1024;
constexpr std::size_t kQueueMost = std::size_t{1}
                                   << 22;  // due and not sent: beyond this the run is over its head
constexpr std::size_t kTemplates = 1024;
constexpr std::string_view kHeadEnd = "\r\n\r\n";

/// A request as bytes with gaps for what is fresh on each.
struct Template {
    std::string bytes;
    std::array<std::size_t, 3> ids{};  ///< where the id stands: path, header, body
    int id_count = 0;
    std::size_t key = 0;  ///< of its second half; zero: none
};

Template make_template(const Day& day, const Ask& ask, Duration patience) {
    Template made;
    made.bytes = request_text(day, ask, patience);
    std::string id = hex16(ask.id);
    for (std::size_t at = made.bytes.find(id); at != std::string::npos && made.id_count < 3;
         at = made.bytes.find(id, at + 1))
        made.ids[std::size_t(made.id_count++)] = at;
    std::size_t key = made.bytes.find("Idempotency-Key: ");
    if (key != std::string::npos) made.key = key + 17 + 16;
    return made;
}

void put_hex16(char* at, std::uint64_t number) {
    constexpr char kDigits[] = "0123456789abcdef";
    for (int i = 15; i >= 0; --i, number >>= 4) at[i] = kDigits[number & 15];
}

/// Whether a head says so; names in any case.
std::string_view field(std::string_view head, std::string_view name) {
    for (std::size_t at = head.find("\r\n"); at != std::string_view::npos; at = head.find("\r\n", at + 2)) {
        std::string_view line = head.substr(at + 2, head.find("\r\n", at + 2) - at - 2);
        if (line.size() <= name.size() || line[name.size()] != ':') continue;
        if (!same_name(line.substr(0, name.size()), name)) continue;
        line.remove_prefix(name.size() + 1);
        line.remove_prefix(std::min(line.size(), line.find_first_not_of(' ')));
        return line;
    }
    return {};
}

}  // namespace

class OpenLoop::State {
public:
    State(const Day& day, const Endpoint& to, const Share& share)
        : to_(to), share_(share), timer_(io_), random_(share.seed) {
        must_be_loopback(to.address());
        if (share.give_up.count() > 0) slices_.resize(std::size_t(share.length / LoadResult::kSlice) + 1);
        make_templates(day);
        queue_.resize(1024);
    }

    void start() {
        thread_ = std::thread([this] {
            try {
                run();
            } catch (...) {
                fault_ = std::current_exception();
            }
        });
    }
    void finish(LoadResult& result) {
        thread_.join();
        if (fault_) std::rethrow_exception(fault_);
        result.due += due_;
        result.sent += sent_;
        result.served += served_;
        result.refused += refused_;
        result.failed += failed_;
        result.lost += lost_;
        result.unanswered += unanswered_;
        result.left += left_;
        if (result.slices.size() < slices_.size()) result.slices.resize(slices_.size());
        for (std::size_t i = 0; i < slices_.size(); ++i) {
            result.slices[i].due += slices_[i].due;
            result.slices[i].served += slices_[i].served;
            slices_[i].latency.add_to(result.slices[i].latency);
        }
        result.connections += opened_;
        result.cpu_s += cpu_s_;
        latency_.add_to(result.latency);
        from_send_.add_to(result.from_send);
    }
    std::uint64_t answered() const { return told_.load(std::memory_order_relaxed); }

private:
    struct Due {
        Steady::time_point at;
        std::uint32_t form;
    };

    /// Lives as long as the loop, whichever connections it carries.
    class Connection {
    public:
        Connection(State& state) : state_(state), socket_(state.io_) {}

        void open(const Due& first) {
            ++state_.opened_;
            due_ = first;
            busy_ = true;
            held_ = skip_ = 0;
            error_code error;
            socket_.open(state_.to_.protocol(), error);
            if (!error) socket_.non_blocking(true, error);
            if (!error) socket_.set_option(asio::ip::tcp::no_delay(true), error);
            if (error) return fail();
            state_.watch(this, ++ask_);
            socket_.async_connect(state_.to_, [this, life = life_](error_code failed) {
                if (life != life_) return;
                if (failed) return fail();
                send();
                if (life == life_) read();
            });
        }
        bool is_open() const { return socket_.is_open(); }
        void ask(const Due& due) {
            due_ = due;
            busy_ = true;
            state_.watch(this, ++ask_);
            send();
        }
        /// Its client has waited for long enough, if it still does for this one.
        void give_up(std::uint32_t ask) {
            if (!busy_ || ask != ask_) return;
            busy_ = false;
            state_.left(due_);
            shut_and_free();
        }
        /// What it was due at, if it is out and never answered.
        const Due* out() const { return busy_ ? &due_ : nullptr; }

    private:
        void send() {
            sent_at_ = Steady::now();
            ++state_.sent_;
            std::string_view bytes = state_.render(due_.form);
            error_code error;
            std::size_t written = socket_.write_some(asio::buffer(bytes.data(), bytes.size()), error);
            if (error && error != asio::error::would_block) return fail();
            if (written < bytes.size()) {  // a far side that reads slowly
                rest_.assign(bytes.substr(written));
                write_rest();
            }
        }
        void write_rest() {
            socket_.async_wait(asio::ip::tcp::socket::wait_write, [this, life = life_](error_code failed) {
                if (life != life_) return;
                error_code error = failed;
                std::size_t written = 0;
                if (!error) written = socket_.write_some(asio::buffer(rest_), error);
                if (error && error != asio::error::would_block) return fail();
                rest_.erase(0, written);
                if (!rest_.empty()) write_rest();
            });
        }
        void read() {
            socket_.async_read_some(asio::buffer(in_.data() + held_, in_.size() - held_),
                                    [this, life = life_](error_code error, std::size_t got) {
                                        if (life != life_) return;
                                        if (error) return ended();
                                        held_ += got;
                                        if (take() && life == life_) read();
                                    });
        }
        void ended() {
            if (!busy_) {  // idle, and the far side has closed it
                state_.forget_idle(this);
                return shut();
            }
            if (until_end_) {
                answered();
                return shut_and_free();
            }
            fail();
        }
        /// False where the connection is gone.
        bool take() {
            std::size_t at = 0;
            while (at < held_) {
                if (until_end_) {
                    at = held_;
                    break;
                }
                if (skip_ > 0) {
                    std::size_t some = std::min(skip_, held_ - at);
                    at += some;
                    skip_ -= some;
                    if (skip_ == 0 && !whole()) return false;
                    continue;
                }
                std::string_view rest(in_.data() + at, held_ - at);
                if (chunked_) {
                    std::size_t used = chunk(rest);
                    if (used == 0) break;
                    at += used;
                    if (!chunked_ && !whole()) return false;
                    continue;
                }
                std::size_t end = rest.find(kHeadEnd);
                if (end == std::string_view::npos) break;
                if (!busy_) {  // nobody asked
                    state_.forget_idle(this);
                    ++state_.failed_;
                    shut();
                    return false;
                }
                at += end + kHeadEnd.size();
                if (!head(rest.substr(0, end + 2))) return false;
            }
            std::memmove(in_.data(), in_.data() + at, held_ - at);
            held_ -= at;
            if (held_ < in_.size()) return true;
            fail();  // a head or a chunk's size that never ends
            return false;
        }
        bool head(std::string_view text) {
            if (text.size() < 13 || text.substr(0, 7) != "HTTP/1.") {
                fail();
                return false;
            }
            status_ = std::atoi(text.data() + 9);
            if (status_ >= 100 && status_ < 200) return true;
            closes_ = same_name(field(text, "Connection"), "close") || text[7] == '0';
            std::string_view length = field(text, "Content-Length");
            if (!length.empty())
                skip_ = std::strtoul(length.data(), nullptr, 10);
            else if (same_name(field(text, "Transfer-Encoding"), "chunked"))
                chunked_ = true;
            else if (status_ != 204 && status_ != 304)
                until_end_ = true;
            return skip_ > 0 || chunked_ || until_end_ || whole();
        }
        /// Takes some of a chunked body: how many bytes that were, none where more are needed.
        std::size_t chunk(std::string_view rest) {
            if (chunk_left_ > 0) {
                std::size_t some = std::min(chunk_left_, rest.size());
                chunk_left_ -= some;
                return some;
            }
            std::size_t line = rest.find("\r\n");
            if (line == std::string_view::npos) return 0;
            if (in_trailer_ && line == 0)
                chunked_ = in_trailer_ = false;
            else if (!in_trailer_) {
                std::size_t size = std::strtoul(rest.data(), nullptr, 16);
                if (size == 0)
                    in_trailer_ = true;
                else
                    chunk_left_ = size + 2;
            }
            return line + 2;
        }
        bool whole() {
            answered();
            if (closes_) {
                shut_and_free();
                return false;
            }
            state_.free(this);
            return true;
        }
        void answered() {
            Steady::time_point now = Steady::now();
            state_.came(due_, now);
            state_.from_send_.add(Duration(now - sent_at_).count());
            if (status_ == 200)
                state_.served(due_, now);
            else if (status_ == 429 || status_ == 503)
                ++state_.refused_;
            else
                ++state_.failed_;
            busy_ = until_end_ = chunked_ = in_trailer_ = false;
        }
        void fail() {
            if (busy_) {
                ++state_.lost_;
                ++state_.failed_;
                state_.came(due_, Steady::now());
            }
            busy_ = false;
            shut_and_free();
        }
        void shut() {
            ++life_;
            error_code ignored;
            socket_.close(ignored);
            rest_.clear();
            until_end_ = chunked_ = in_trailer_ = closes_ = false;
            held_ = skip_ = chunk_left_ = 0;
        }
        void shut_and_free() {
            shut();
            state_.closed(this);
        }

        State& state_;
        asio::ip::tcp::socket socket_;
        std::array<char, kBuffer> in_;
        std::size_t held_ = 0, skip_ = 0, chunk_left_ = 0;
        std::string rest_;
        Due due_{};
        Steady::time_point sent_at_{};
        std::uint32_t life_ = 0, ask_ = 0;
        int status_ = 0;
        bool busy_ = false, closes_ = false, until_end_ = false, chunked_ = false, in_trailer_ = false;
    };

    void make_templates(const Day& day) {
        if (day.classes.empty()) throw std::invalid_argument("a load needs classes of requests");
        // As the day's own arrivals are mixed, or by the shares where it has none.
        std::vector<double> shares;
        for (const ClassFigures& c : day.classes) shares.push_back(c.share);
        for (std::size_t i = 0; i < kTemplates; ++i) {
            Ask ask;
            if (!day.arrivals.empty()) {
                const Arrival& like = day.arrivals[i * day.arrivals.size() / kTemplates];
                ask.cls = like.cls;
                ask.tenant = like.tenant;
                ask.work = day.classes[std::size_t(like.cls)].work * like.work;
                ask.wait = day.classes[std::size_t(like.cls)].wait * like.wait;
            } else {
                double at = (double(i) + 0.5) / kTemplates, sum = 0, all = 0;
                for (double share : shares) all += share;
                for (std::size_t c = 0; c < shares.size(); ++c) {
                    if (at >= sum / all) ask.cls = int(c);
                    sum += shares[c];
                }
                if (!day.tenants.empty()) ask.tenant = int(i % day.tenants.size());
                ask.work = day.classes[std::size_t(ask.cls)].work;
                ask.wait = day.classes[std::size_t(ask.cls)].wait;
            }
            const ClassFigures& cls = day.classes[std::size_t(ask.cls)];
            ask.id = kHostileIds - 1;  // found in the bytes, and replaced
            if (cls.effect == Idempotency::IdempotentWithKey) ask.key = 1;
            forms_.push_back(
                make_template(day, ask, share_.give_up.count() > 0 ? share_.give_up : cls.give_up));
        }
    }

    std::string_view render(std::uint32_t form) {
        Template& made = forms_[form];
        std::uint64_t id = random_();
        if (hostile_id(id) || id == 0) id = 1;
        for (int i = 0; i < made.id_count; ++i) put_hex16(made.bytes.data() + made.ids[std::size_t(i)], id);
        if (made.key > 0) put_hex16(made.bytes.data() + made.key, random_());
        return made.bytes;
    }

    void run() {
        begin_ = Steady::now();
        end_ = begin_ + std::chrono::duration_cast<Steady::duration>(share_.length);
        last_ =
            end_ + std::chrono::duration_cast<Steady::duration>(share_.patience) + std::chrono::seconds(1);
        next_ = begin_;
        draw_next();
        look();
        io_.run();
        timespec spent{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
        cpu_s_ = double(spent.tv_sec) + double(spent.tv_nsec) / 1e9;
        Steady::time_point now = Steady::now();
        for (; queued_ > 0; --queued_, head_ = (head_ + 1) % queue_.size()) never(queue_[head_], now);
        for (auto& connection : connections_)
            if (const Due* out = connection->out()) never(*out, now);
    }
    void never(const Due& due, Steady::time_point now) {
        ++unanswered_;
        latency_.add(Duration(now - due.at).count());
    }
    void draw_next() {
        double drawn = double(random_() >> 11) * 0x1p-53;
        double rate = Duration(next_ - begin_) < share_.storm ? share_.storm_rate : share_.rate;
        next_ += std::chrono::nanoseconds(std::int64_t(-std::log1p(-drawn) / rate * 1e9));
    }
    /// Sends what is due, and looks again.
    void look() {
        Steady::time_point now = Steady::now();
        for (; !watched_.empty() && watched_.front().until <= now; watched_.pop_front())
            watched_.front().connection->give_up(watched_.front().ask);
        while (next_ <= now && next_ < end_) {
            ++due_;
            if (Slice* slice = slice_of(next_)) ++slice->due;
            give({next_, std::uint32_t(random_() % forms_.size())});
            draw_next();
        }
        if (next_ >= end_ && queued_ == 0 && out_ == 0) return io_.stop();
        if (now >= last_) return io_.stop();
        timer_.expires_at(next_ < end_ ? std::max(next_, now + kStep) : now + kLastStep);
        timer_.async_wait([this](error_code) { look(); });
    }
    void give(const Due& due) {
        if (!idle_.empty()) {
            Connection* connection = idle_.back();
            idle_.pop_back();
            ++out_;
            return connection->ask(due);
        }
        if (shut_.empty() && int(connections_.size()) < share_.connections) {
            connections_.push_back(std::make_unique<Connection>(*this));
            shut_.push_back(connections_.back().get());
        }
        if (!shut_.empty()) {
            Connection* connection = shut_.back();
            shut_.pop_back();
            ++out_;
            return connection->open(due);
        }
        wait_in_line(due);
    }
    void wait_in_line(const Due& due) {
        if (queued_ == queue_.size()) {
            if (queue_.size() >=
                kQueueMost) {  // told as what it is, with the time it would have waited at least
                ++failed_;
                return came(due, Steady::now());
            }
            std::vector<Due> more(queue_.size() * 2);
            for (std::size_t i = 0; i < queued_; ++i) more[i] = queue_[(head_ + i) % queue_.size()];
            queue_ = std::move(more);
            head_ = 0;
        }
        queue_[(head_ + queued_++) % queue_.size()] = due;
    }
    bool next_in_line(Due& due) {
        while (queued_ > 0) {
            due = queue_[head_];
            head_ = (head_ + 1) % queue_.size();
            --queued_;
            if (share_.give_up.count() == 0 || Duration(Steady::now() - due.at) < share_.give_up) return true;
            left(due);
        }
        return false;
    }
    /// The connection may be used again.
    void free(Connection* connection) {
        --out_;
        Due due;
        if (next_in_line(due)) {
            ++out_;
            connection->ask(due);
        } else {
            idle_.push_back(connection);
        }
    }
    /// It is shut, its request answered or lost.
    void closed(Connection* connection) {
        --out_;
        shut_.push_back(connection);
        // Not from inside: a far side that refuses at once would take the stack.
        if (queued_ > 0)
            asio::post(io_, [this] {
                Due due;
                if (!shut_.empty() && next_in_line(due)) give(due);
            });
    }
    void forget_idle(Connection* connection) {
        std::erase(idle_, connection);
        shut_.push_back(connection);
    }
    struct Slice {
        std::uint64_t due = 0, served = 0;
        LatencyCounts latency;
    };
    Slice* slice_of(Steady::time_point due) {
        if (slices_.empty()) return nullptr;
        return &slices_[std::min(slices_.size() - 1,
                                 std::size_t(Duration(due - begin_) / LoadResult::kSlice))];
    }
    void served(const Due& due, Steady::time_point now) {
        ++served_;
        Slice* slice = slice_of(due.at);
        if (!slice) return;
        ++slice->served;
        slice->latency.add(Duration(now - due.at).count());
    }
    void left(const Due& due) {
        ++left_;
        came(due, Steady::now());
    }
    void watch(Connection* connection, std::uint32_t ask) {
        if (share_.give_up.count() == 0) return;
        auto until = Steady::now() + std::chrono::duration_cast<Steady::duration>(share_.give_up);
        watched_.push_back({until, connection, ask});
    }
    void came(const Due& due, Steady::time_point now) {
        latency_.add(Duration(now - due.at).count());
        told_.store(told_.load(std::memory_order_relaxed) + 1, std::memory_order_relaxed);
    }

    Endpoint to_;
    Share share_;
    asio::io_context io_{1};
    asio::steady_timer timer_;
    std::mt19937_64 random_;
    std::vector<Template> forms_;
    std::vector<std::unique_ptr<Connection>> connections_;
    std::vector<Connection*> idle_, shut_;  ///< idle: the last used goes first
    std::vector<Due> queue_;                ///< a ring of what is due and waits for a connection
    std::size_t head_ = 0, queued_ = 0, out_ = 0;
    Steady::time_point begin_{}, end_{}, last_{}, next_{};
    std::uint64_t due_ = 0, sent_ = 0, served_ = 0, refused_ = 0, failed_ = 0, lost_ = 0, unanswered_ = 0,
                  opened_ = 0, left_ = 0;
    struct Watched {
        Steady::time_point until;
        Connection* connection;
        std::uint32_t ask;
    };
    std::deque<Watched> watched_;  ///< in their order: all wait as long
    std::vector<Slice> slices_;
    std::atomic<std::uint64_t> told_ = 0;
    LatencyCounts latency_, from_send_;
    double cpu_s_ = 0;
    std::thread thread_;
    std::exception_ptr fault_;
};

OpenLoop::OpenLoop(const Day& day, const Endpoint& to, const Share& share)
    : state_(std::make_unique<State>(day, to, share)) {}
OpenLoop::~OpenLoop() = default;
void OpenLoop::start() {
    state_->start();
}
void OpenLoop::finish(LoadResult& result) {
    state_->finish(result);
}
std::uint64_t OpenLoop::answered() const {
    return state_->answered();
}

}  // namespace ochrehub::lab
