// The clients' side: accepts connections, keeps count of them, and says what a request's path and headers
// mean.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "admission/admission.h"
#include "base/buffer_pool.h"
#include "base/descriptor_budget.h"
#include "base/lag_meter.h"
#include "engine/engine.h"
#include "engine/names.h"
#include "figures/figures.h"
#include "http/call_reader.h"
#include "http/http_profile.h"
#include "http/memory_guard.h"
#include "http/message.h"
#include "http/stall.h"
#include "rewrite/rewrites.h"
#include "sessions/session_table.h"
#include "takeover/request_id_table.h"

namespace ochrehub::http {

class ClientSession;

class Front {
public:
    /// Listens at `listen`, or on the descriptor `inherited`, which other processes hold too. Throws
    /// boost::system::system_error where it cannot.
    Front(boost::asio::io_context& io, BufferPool& pool, Engine& engine, figures::Figures& figures,
          const Settings& settings, Names names, const boost::asio::ip::tcp::endpoint& listen,
          std::optional<int> inherited, DescriptorBudget budget, std::uint64_t seed,
          takeover::RequestIdTable& executed_ids, const HttpProfile& profile = {},
          Counters* counters = nullptr);

    /// Connections are accepted from now on.
    void open();
    /// From now on each answer closes its connection. New ones are still taken, but from a listener that
    /// others hold too: whatever waits there is theirs. Requests that become whole from now on are answered
    /// by `respond_by`, whatever their own deadline: the process may be killed soon after it.
    void drain(TimePoint respond_by);
    bool draining() const { return draining_; }
    /// No deadline of a request that becomes whole now is later.
    TimePoint respond_by() const { return respond_by_; }
    /// Ends connections that rest; called again and again, it ends each as it comes to rest. From the first
    /// call on no request that has been read behind another keeps its connection.
    void end_resting();
    /// Answers what is only half there: its time is over.
    void end_half_sent();
    /// Closes connections whose clients do not read their answers, and says how many those were.
    std::size_t end_unread();
    /// The same of those whose servers give no more of an answer that has begun.
    std::size_t end_silent();
    /// A request that came now would be served, as far as servers are.
    bool serves() const { return open_ && !draining_ && engine_.has_servers(); }
    bool ending() const { return ending_; }
    /// Nothing is being read, decided or written, nor lies unread in a connection or waits to be accepted.
    bool quiet();
    /// Connections wait to be accepted.
    bool awaited();
    /// No client is connected.
    bool empty() const { return sessions_.held() == 0; }
    /// Holds no more descriptors than this from now on.
    void keep_to(DescriptorBudget budget);

    boost::asio::io_context& io() { return io_; }
    BufferPool& pool() { return pool_; }
    Engine& engine() { return engine_; }
    figures::Figures& figures() { return figures_; }

    const HttpProfile& profile() const { return profile_; }
    CallReader& calls() { return calls_; }

    /// The operators' rules for headers, for requests from now on; null: none.
    void rewrite_by(std::shared_ptr<const rewrite::Rewrites> rewrites) { rewrites_ = std::move(rewrites); }
    const std::shared_ptr<const rewrite::Rewrites>& rewrites() const { return rewrites_; }
    const std::string& class_name(int index) const { return names_.classes[std::size_t(index)]; }

    /// There is memory for more of a request that is not whole, or for its first bytes, or was found by
    /// closing who stands still.
    bool has_memory(bool is_first);
    /// How many connections to servers are missing now, asked ten times a second.
    void watch_server_connections(std::function<std::size_t()> missing) {
        server_connections_short_ = std::move(missing);
    }

    AdmissionController& admission() { return admission_; }
    /// The list as the engine hears it.
    void listed(const EndpointList& listing) { admission_.update_endpoints(engine_.now(), listing.update); }

    /// The ids of the requests that are open here: another with the same would be taken for a second copy.
    /// `id` must stay where it is until it is released.
    bool claim(std::string_view id) { return open_ids_.insert(id).second; }
    void release(std::string_view id) { open_ids_.erase(id); }
    /// Those of requests that must not be executed twice, which stay taken behind their end.
    takeover::RequestIdTable& executed_ids() { return executed_ids_; }
    bool executes_once(int class_index) const { return executes_once_[std::size_t(class_index)]; }

    /// While the loop is behind, sessions that can be read wait here for their turn: whoever answers, and the
    /// timers, go between turns.
    LagMeter& lag() { return lag_; }
    bool behind() const { return lag_.behind() || !to_read_.empty(); }
    void read_later(std::shared_ptr<ClientSession> session);
    /// A request was read whole.
    void was_read() { ++read_; }

    // For the sessions.
    using Table = SessionTable<std::shared_ptr<ClientSession>>;
    void stands(Table::Place place, Standing from, Standing to);
    void closed(Table::Place place, Standing standing);

private:
    static constexpr int kAcceptsAtOnce = 16;  // then others have their turn

    std::size_t close_stalled(Resource shortage, std::size_t needed);
    void report_closed(Resource shortage, std::size_t closed, const Stall& first);
    std::string memory_summary() const;
    void report_exhausted();
    bool has_client_connection();
    void relieve();
    std::size_t end_busy(bool (ClientSession::*ends)());
    void accept();
    void accept_if_full();
    boost::system::error_code accept_some();
    void take(boost::asio::ip::tcp::socket socket);
    void sweep();
    void read_some();
    void tell(const LoadState::Change& change);

    boost::asio::io_context& io_;
    BufferPool& pool_;
    Engine& engine_;
    figures::Figures& figures_;
    Names names_;
    HttpProfile profile_;
    CallReader calls_;
    boost::asio::ip::tcp protocol_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer retry_, sweep_;
    AdmissionController admission_;
    MemoryGuard guard_;
    std::function<std::size_t()> server_connections_short_;
    std::array<std::chrono::steady_clock::time_point, std::size_t(Resource::kResources)> next_search_{};
    std::chrono::steady_clock::time_point next_exhausted_report_{};
    std::uint64_t connections_ = 0;  // that ever came
    Table sessions_;
    std::unordered_set<std::string_view> open_ids_;  // of the sessions' own
    takeover::RequestIdTable& executed_ids_;
    std::vector<bool> executes_once_;  // of each class
    std::shared_ptr<const rewrite::Rewrites> rewrites_;
    LagMeter lag_;
    ReadTurn turn_;
    std::deque<std::shared_ptr<ClientSession>> to_read_;
    bool shared_;        // the listener, with other processes
    bool open_ = false;  // has begun to accept
    bool accepting_ = false;
    bool full_ = false;   // accepts again once one can make way
    int read_ = 0;        // requests since connections were last accepted
    bool stood_ = false;  // the queue, when the listener was last told
    bool draining_ = false, ending_ = false;
    TimePoint respond_by_ = TimePoint::max();
};

}  // namespace ochrehub::http
