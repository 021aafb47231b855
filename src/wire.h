// The simulator's wire: parsing, interning, formatting and the instances. It decides nothing.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "engine/decode.h"
#include "ochrehub/balancer.h"

namespace ochrehub {

/// A line that is not of the wire's form; what() reads "line N: what was wrong".
class WireError : public std::runtime_error {
public:
    WireError(std::uint64_t line, const std::string& what)
        : std::runtime_error("line " + std::to_string(line) + ": " + what) {}
};

class Wire {
public:
    Wire();
    ~Wire();

    /// Takes one line without its end. Appends a whole reply to `out` when the line closes a batch, and
    /// returns true.
    bool take_line(std::string_view line, std::string& out);

    /// To be called at the end of the input. Throws WireError if a batch is still open.
    void end_of_input() const;

private:
    struct Instance;
    using Fields = std::vector<std::string_view>;

    [[noreturn]] void bad(const std::string& what) const;
    template <class T>
    T number(std::string_view text, const char* what) const;
    double real(std::string_view text, const char* what) const;
    bool flag(std::string_view text, const char* what) const;
    LoadReport report(std::string_view text) const;
    Outcome outcome(std::string_view text) const;
    Instance& instance(std::string_view who);
    void need(std::size_t count) const;

    void take_event(std::string& out);
    void take_host(std::string& out);
    void list_done(std::string& out);
    void enlist(std::string& out);
    void job_in(std::string& out);
    void attempt_end(std::string& out);
    void deliver(Instance& to, const Event& event, std::string& out);
    void write(Instance& from, const Action& action, std::string& out);

    std::map<std::uint32_t, std::unique_ptr<Instance>> instances_;
    Fields fields_;
    Actions actions_;
    std::string reply_;
    std::uint64_t line_ = 0;
    bool in_batch_ = false;
    TimePoint now_{};
    Instance* list_for_ = nullptr;
    std::uint64_t hosts_due_ = 0;
    EndpointUpdate list_;
};

}  // namespace ochrehub
