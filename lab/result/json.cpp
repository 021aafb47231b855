// The JSON form. Each kind of object names its fields once, in the order of the file, for writing and for
// reading.
#include <algorithm>
#include <array>
#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_stack.hpp>
#include <charconv>
#include <cmath>
#include <fstream>
#include <limits>
#include <sstream>
#include <stdexcept>
#include <type_traits>

#include "lab/result/result.h"

namespace ochrehub::lab {
namespace {

namespace json = boost::json;

template <class Visit, class R>
requires std::is_same_v<std::remove_const_t<R>, Worth>
void fields(Visit& visit, R& r) {
    visit("asked", r.asked);
    visit("got", r.got);
}
template <class Visit, class R>
requires std::is_same_v<std::remove_const_t<R>, GroupResult>
void fields(Visit& visit, R& r) {
    visit("name", r.name);
    visit("worth", r.worth);
    visit("calls", r.calls);
    visit("served", r.served);
    visit("served_late", r.served_late);
    visit("refused", r.refused);
    visit("failed", r.failed);
    visit("left", r.left);
    visit("latency", r.latency);
}
template <class Visit, class R>
requires std::is_same_v<std::remove_const_t<R>, SumResult>
void fields(Visit& visit, R& r) {
    visit("name", r.name);
    visit("worth", r.worth);
}
template <class Visit, class R>
requires std::is_same_v<std::remove_const_t<R>, ServerResult>
void fields(Visit& visit, R& r) {
    visit("id", r.id);
    visit("attempts", r.attempts);
    visit("served", r.served);
    visit("errors", r.errors);
    visit("never_ran", r.never_ran);
    visit("dropped", r.dropped);
    visit("resets", r.resets);
    visit("spoilt", r.spoilt);
    visit("load", r.load);
    visit("load_peak", r.load_peak);
    visit("latency", r.latency);
}
template <class Visit, class R>
requires std::is_same_v<std::remove_const_t<R>, SecondResult>
void fields(Visit& visit, R& r) {
    visit("calls", r.calls);
    visit("tries", r.tries);
    visit("attempts", r.attempts);
    visit("served", r.served);
    visit("in_time", r.in_time);
    visit("refused", r.refused);
    visit("failed", r.failed);
    visit("left", r.left);
    visit("connects", r.connects);
    visit("worth_asked", r.worth_asked);
    visit("worth_got", r.worth_got);
    visit("p50_ms", r.p50_ms);
    visit("p99_ms", r.p99_ms);
}
template <class Visit, class R>
requires std::is_same_v<std::remove_const_t<R>, FaultResult>
void fields(Visit& visit, R& r) {
    visit("kind", r.kind);
    visit("what", r.what);
    visit("began_s", r.began_s);
    visit("ended_s", r.ended_s);
    visit("detect_s", r.detect_s);
    visit("return_s", r.return_s);
}
template <class Visit, class R>
requires std::is_same_v<std::remove_const_t<R>, NodeResult>
void fields(Visit& visit, R& r) {
    visit("cpu_s", r.cpu_s);
    visit("memory_peak_mb", r.memory_peak_mb);
    visit("descriptors_peak", r.descriptors_peak);
    visit("tries", r.tries);
    visit("starts", r.starts);
}
template <class Visit, class R>
requires std::is_same_v<std::remove_const_t<R>, BreachResult>
void fields(Visit& visit, R& r) {
    visit("rule", r.rule);
    visit("number", r.number);
    visit("at_s", r.at_s);
    visit("id", r.id);
    visit("proof", r.proof);
}
template <class Visit, class R>
requires std::is_same_v<std::remove_const_t<R>, Deductions>
void fields(Visit& visit, R& r) {
    visit("waste", r.waste);
    visit("late_fail", r.late_fail);
    visit("probes", r.probes);
    visit("handshakes", r.handshakes);
    visit("cross_zone", r.cross_zone);
}
template <class Visit, class R>
requires std::is_same_v<std::remove_const_t<R>, RecoveryResult>
void fields(Visit& visit, R& r) {
    visit("began_s", r.began_s);
    visit("ended_s", r.ended_s);
    visit("recovered_s", r.recovered_s);
    visit("before", r.before);
    visit("during", r.during);
    visit("after", r.after);
    visit("tries_per_call", r.tries_per_call);
    visit("refused_after", r.refused_after);
    visit("return_peak", r.return_peak);
    visit("arrival_peak", r.arrival_peak);
}
template <class Visit, class R>
requires std::is_same_v<std::remove_const_t<R>, Result>
void fields(Visit& visit, R& r) {
    visit("scenario", r.scenario);
    visit("world", r.world);
    visit("seed", r.seed);
    visit("length_s", r.length_s);
    visit("nodes", r.nodes);
    visit("servers", r.servers);
    visit("worth", r.worth);
    visit.later("heeding", r.heeding);
    visit.later("deaf", r.deaf);
    visit("worst_10s", r.worst_10s);
    visit("worst_class", r.worst_class);
    visit("worst_tenant", r.worst_tenant);
    visit("service", r.service);
    visit("prices", r.prices);
    visit("deductions", r.deductions);
    visit("score", r.score);
    visit("calls", r.calls);
    visit("tries", r.tries);
    visit("attempts", r.attempts);
    visit("probes", r.probes);
    visit("connections", r.connections);
    visit("client_connections", r.client_connections);
    visit("served", r.served);
    visit("in_time", r.in_time);
    visit("refused", r.refused);
    visit("failed", r.failed);
    visit("left", r.left);
    visit("open", r.open);
    visit("tries_per_call", r.tries_per_call);
    visit("attempts_per_call", r.attempts_per_call);
    visit("breach_count", r.breach_count);
    visit("breaches", r.breaches);
    visit("latency", r.latency);
    visit("classes", r.classes);
    visit("tenants", r.tenants);
    visit.later("effects", r.effects);
    visit.later("thirds", r.thirds);
    visit("faults", r.faults);
    visit.later("recovery", r.recovery);
    visit("node", r.node);
    visit("fleet", r.fleet);
    visit("seconds", r.seconds);
}

class Writer {
public:
    template <class T>
    void operator()(const char* key, const T& value) {
        if (!first_) text_ += ',';
        // A line for each field of a result, and for each entry of its lists: small diffs, and still compact.
        if (depth_ == 0) text_ += '\n';
        first_ = false;
        text_ += '"';
        text_ += key;
        text_ += "\":";
        write(value);
    }
    template <class T>
    void later(const char* key, const T& value) {
        (*this)(key, value);
    }
    template <class T>
    void object(const T& value, int depth) {
        const int outer = std::exchange(depth_, depth);
        text_ += '{';
        first_ = true;
        fields(*this, value);
        text_ += '}';
        first_ = false;
        depth_ = outer;
    }
    std::string& text() { return text_; }

private:
    void write(const std::string& value) { text_ += json::serialize(json::string_view(value)); }
    template <class T>
    requires std::is_arithmetic_v<T>
    void write(T value) {
        if constexpr (std::is_floating_point_v<T>) {
            // JSON has no such numbers; they come back as what is no number.
            if (!std::isfinite(value)) {
                text_ += "null";
                return;
            }
        }
        std::array<char, 32> digits;
        text_.append(digits.data(), std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr);
    }
    // Both empty ends of the counts are left out: "first" is the bucket of the first that is written.
    void write(const Latencies& value) {
        std::size_t first = 0, last = value.counts.size();
        while (last > 0 && value.counts[last - 1] == 0) --last;
        while (first < last && value.counts[first] == 0) ++first;
        text_ += "{\"total\":";
        write(value.total);
        text_ += ",\"sum_ms\":";
        write(value.sum_ms);
        text_ += ",\"max_ms\":";
        write(value.max_ms);
        text_ += ",\"first\":";
        write(first);
        text_ += ",\"counts\":[";
        for (std::size_t i = first; i < last; ++i) {
            if (i > first) text_ += ',';
            write(value.counts[i]);
        }
        text_ += "]}";
    }
    template <class T>
    void write(const std::vector<T>& list) {
        text_ += '[';
        bool first = true;
        for (const T& value : list) {
            text_ += first ? "\n" : ",\n";
            first = false;
            object(value, 1);
        }
        text_ += ']';
    }
    template <class T>
    requires std::is_class_v<T>
    void write(const T& value) { object(value, 1); }

    std::string text_;
    bool first_ = true;
    int depth_ = 0;
};

// Boost.JSON 1.81 reads a tenth of all doubles off by their last bit. It splits the text into parts here, and
// numbers are read from their text.
struct ExactNumbers {
    static constexpr std::size_t max_object_size = std::numeric_limits<std::size_t>::max();
    static constexpr std::size_t max_array_size = std::numeric_limits<std::size_t>::max();
    static constexpr std::size_t max_key_size = json::string::max_size();
    static constexpr std::size_t max_string_size = json::string::max_size();
    using Error = json::error_code;

    json::value_stack stack;
    std::string number;

    bool on_document_begin(Error&) {
        stack.reset();
        return true;
    }
    bool on_document_end(Error&) { return true; }
    bool on_object_begin(Error&) { return true; }
    bool on_object_end(std::size_t n, Error&) {
        stack.push_object(n);
        return true;
    }
    bool on_array_begin(Error&) { return true; }
    bool on_array_end(std::size_t n, Error&) {
        stack.push_array(n);
        return true;
    }
    bool on_key_part(json::string_view s, std::size_t, Error&) {
        stack.push_chars(s);
        return true;
    }
    bool on_key(json::string_view s, std::size_t, Error&) {
        stack.push_key(s);
        return true;
    }
    bool on_string_part(json::string_view s, std::size_t, Error&) {
        stack.push_chars(s);
        return true;
    }
    bool on_string(json::string_view s, std::size_t, Error&) {
        stack.push_string(s);
        return true;
    }
    bool on_number_part(json::string_view s, Error&) {
        number.append(s.data(), s.size());
        return true;
    }
    bool on_int64(std::int64_t i, json::string_view, Error&) {
        number.clear();
        stack.push_int64(i);
        return true;
    }
    bool on_uint64(std::uint64_t u, json::string_view, Error&) {
        number.clear();
        stack.push_uint64(u);
        return true;
    }
    bool on_double(double roughly, json::string_view s, Error&) {
        number.append(s.data(), s.size());
        double exactly = 0;
        const auto read = std::from_chars(number.data(), number.data() + number.size(), exactly);
        stack.push_double(read.ec == std::errc() ? exactly : roughly);
        number.clear();
        return true;
    }
    bool on_bool(bool b, Error&) {
        stack.push_bool(b);
        return true;
    }
    bool on_null(Error&) {
        stack.push_null();
        return true;
    }
    bool on_comment_part(json::string_view, Error&) { return true; }
    bool on_comment(json::string_view, Error&) { return true; }
};

class Reader {
public:
    Reader(const std::string& file, std::string path, const json::value& value)
        : file_(file), path_(std::move(path)) {
        object_ = value.if_object();
        if (object_ == nullptr) fail("", "is not an object");
    }

    template <class T>
    void operator()(const char* key, T& into) {
        const json::value* value = object_->if_contains(key);
        if (value == nullptr) fail(key, "is missing");
        read(key, *value, into);
    }
    /// A field that files of this version may not have yet.
    template <class T>
    void later(const char* key, T& into) {
        if (object_->if_contains(key) != nullptr) (*this)(key, into);
    }
    const json::value& at(const char* key) const {
        const json::value* value = object_->if_contains(key);
        if (value == nullptr) fail(key, "is missing");
        return *value;
    }
    template <class T>
    void read(const char* key, const json::value& value, std::vector<T>& into) {
        const json::array& list = list_at(key, value);
        into.clear();
        into.reserve(list.size());
        for (std::size_t i = 0; i < list.size(); ++i) {
            Reader inner(file_, path_ + key + "[" + std::to_string(i) + "].", list[i]);
            fields(inner, into.emplace_back());
        }
    }
    [[noreturn]] void fail(const std::string& key, const std::string& what) const {
        std::string place = path_ + key;
        if (!place.empty() && place.back() == '.') place.pop_back();
        throw std::runtime_error(file_ + ": " + (place.empty() ? "" : place + ": ") + what);
    }

private:
    const json::array& list_at(const std::string& key, const json::value& value) const {
        const json::array* list = value.if_array();
        if (list == nullptr) fail(key, "is not a list");
        return *list;
    }
    void read(const std::string& key, const json::value& value, std::string& into) const {
        const json::string* text = value.if_string();
        if (text == nullptr) fail(key, "is not a text");
        into.assign(text->data(), text->size());
    }
    template <class T>
    requires std::is_integral_v<T>
    void read(const std::string& key, const json::value& value, T& into) const {
        json::error_code error;
        into = value.to_number<T>(error);
        if (error) fail(key, "is not a whole number in range");
    }
    void read(const std::string& key, const json::value& value, double& into) const {
        if (value.is_null()) {
            into = std::numeric_limits<double>::quiet_NaN();
            return;
        }
        json::error_code error;
        into = value.to_number<double>(error);
        if (error) fail(key, "is not a number");
    }
    void read(const std::string& key, const json::value& value, Latencies& into) const {
        Reader inner(file_, path_ + key + ".", value);
        inner("total", into.total);
        inner("sum_ms", into.sum_ms);
        inner("max_ms", into.max_ms);
        std::size_t first = 0;
        inner("first", first);
        // A file that is wrong must not take all memory.
        if (first > 100000) inner.fail("first", "is no bucket");
        const json::array& list = inner.list_at("counts", inner.at("counts"));
        into.counts.assign(list.empty() ? 0 : first, 0);
        std::uint64_t sum = 0;
        for (std::size_t i = 0; i < list.size(); ++i) {
            std::uint64_t count = 0;
            inner.read("counts[" + std::to_string(i) + "]", list[i], count);
            into.counts.push_back(count);
            sum += count;
        }
        if (sum != into.total) inner.fail("total", "is not the sum of counts");
    }
    template <class T>
    requires std::is_class_v<T>
    void read(const std::string& key, const json::value& value, T& into) const {
        Reader inner(file_, path_ + key + ".", value);
        fields(inner, into);
    }

    const std::string& file_;
    std::string path_;
    const json::object* object_ = nullptr;
};

json::value parse(const std::string& text, const std::string& name) {
    json::basic_parser<ExactNumbers> parser{json::parse_options()};
    json::error_code error;
    const std::size_t used = parser.write_some(false, text.data(), text.size(), error);
    if (!error && text.find_first_not_of(" \t\r\n", used) != std::string::npos)
        error = json::error::extra_data;
    if (!error && !parser.done()) error = json::error::incomplete;
    if (error) {
        const auto line =
            1 + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(used), '\n');
        throw std::runtime_error(name + ":" + std::to_string(line) + ": is not JSON: " + error.message());
    }
    return parser.handler().stack.release();
}

}  // namespace

std::string to_json(const std::vector<Result>& results) {
    Writer writer;
    writer.text() = "{\"version\":" + std::to_string(kResultVersion) + ",\"results\":[";
    bool first = true;
    for (const Result& result : results) {
        writer.text() += first ? "\n" : ",\n";
        first = false;
        writer.object(result, 0);
    }
    writer.text() += "]}\n";
    return std::move(writer.text());
}

std::vector<Result> parse_results(const std::string& text, const std::string& name) {
    const json::value document = parse(text, name);
    Reader reader(name, "", document);
    int version = 0;
    reader("version", version);
    if (version != kResultVersion)
        reader.fail("version", "is " + std::to_string(version) + ", and this program reads " +
                                   std::to_string(kResultVersion) + " alone");
    std::vector<Result> results;
    reader("results", results);
    for (Result& result : results) result.version = version;
    return results;
}

std::vector<Result> read_results(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (file) text << file.rdbuf();
    if (!file || !text) throw std::runtime_error(path + ": cannot be read");
    return parse_results(text.str(), path);
}

}  // namespace ochrehub::lab
