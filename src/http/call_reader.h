// What a request's method, path and headers mean to the module.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "engine/engine.h"
#include "engine/names.h"
#include "http/http_profile.h"
#include "http/message.h"

namespace ochrehub::http {

class CallReader {
public:
    CallReader(const Settings& settings, const Names& names, const HttpProfile& profile);

    /// What a request asks for. A status other than 200 answers it without the module: what the request says
    /// of itself is wrong. Class and tenant are told as far as they are known even then.
    struct Reading {
        int status = 200;
        std::string allow;  ///< of a 405
        Duration patience{0};
        IncomingRequest call;
    };
    /// `came`: its client's time runs from then.
    Reading read(const HttpMessage& request, TimePoint came) const;

    std::string make_trace_id();

private:
    void find_class(const HttpMessage& request, Reading& reading) const;

    std::vector<ClassSettings> classes_;
    Names names_;
    std::vector<Route> routes_;
    bool needs_trace_id_;
    std::mt19937_64 random_;
};

}  // namespace ochrehub::http
