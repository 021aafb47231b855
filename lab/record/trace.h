// The records of a day as lines of text, for reading and for searching: `ochrehub_lab simulate ... --trace
// FILE`.
#pragma once

#include <cstdio>
#include <string>

#include "lab/record/record.h"

namespace ochrehub::lab {

/// One line, without its end: seconds of the day, the kind of record, then name=value.
std::string line_of(const Record& record, TimePoint start);

class Trace : public Witness {
public:
    /// Throws std::runtime_error where the file cannot be written. `next` may be null.
    Trace(const std::string& path, TimePoint start, Witness* next);
    ~Trace() override;
    Trace(const Trace&) = delete;
    Trace& operator=(const Trace&) = delete;
    void note(const Record& record) override;

private:
    std::FILE* file_;
    TimePoint start_;
    Witness* next_;
};

}  // namespace ochrehub::lab
