// What twin.cmake compiles.
#pragma once

#include "lab/cold/module.h"

namespace ochrehub::lab {

std::unique_ptr<Module> make_no_budget(const Settings& settings, std::uint64_t seed);
std::unique_ptr<Module> make_retries_not_counted(const Settings& settings, std::uint64_t seed);
std::unique_ptr<Module> make_first_span_whole(const Settings& settings, std::uint64_t seed);
std::unique_ptr<Module> make_forgets_sends(const Settings& settings, std::uint64_t seed);

}  // namespace ochrehub::lab
