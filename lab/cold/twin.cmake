# cmake -D SOURCES=a;b.. -D MUTATED=.. -D TO=.. -D NAME=.. -D WAS=.. -D BECOMES=.. -P twin.cmake: writes a mutant of the decision
# core as one translation unit, in which one sentence of the source MUTATED is another, under names of its own. Fails
# where that source does not have the sentence exactly once.
file(READ ${MUTATED} text)
string(FIND "${text}" "${WAS}" first)
string(FIND "${text}" "${WAS}" last REVERSE)
if(first EQUAL -1 OR NOT first EQUAL last)
  message(FATAL_ERROR "${MUTATED} does not have this once, so there is no mutant ${NAME}: ${WAS}")
endif()
string(REPLACE "${WAS}" "${BECOMES}" text "${text}")
set(unit "")
foreach(source ${SOURCES})
  if(source STREQUAL MUTATED)
    string(APPEND unit "${text}\n")
  else()
    string(APPEND unit "#include \"${source}\"\n")
  endif()
endforeach()
file(WRITE ${TO} "#define Balancer Balancer_${NAME}
#define balancer balancer_${NAME}
${unit}
#undef balancer
#undef Balancer
#include \"lab/cold/twins.h\"
namespace ochrehub::lab {
namespace {
struct Twin_${NAME} final : Module {
    Twin_${NAME}(const Settings& settings, std::uint64_t seed) : balancer(settings, seed) {}
    void handle(TimePoint now, const Event& event, Actions& actions) override { balancer.handle(now, event, actions); }
    Balancer_${NAME} balancer;
};
}  // namespace
std::unique_ptr<Module> make_${NAME}(const Settings& settings, std::uint64_t seed) {
    return std::make_unique<Twin_${NAME}>(settings, seed);
}
}  // namespace ochrehub::lab
")
