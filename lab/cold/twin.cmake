# cmake -D SOURCE=.. -D TO=.. -D NAME=.. -D WAS=.. -D BECOMES=.. -P twin.cmake: writes a twin of the module, of which one
# sentence is another. Fails where the module does not have that sentence exactly once.
file(READ ${SOURCE} text)
string(FIND "${text}" "${WAS}" first)
string(FIND "${text}" "${WAS}" last REVERSE)
if(first EQUAL -1 OR NOT first EQUAL last)
  message(FATAL_ERROR "${SOURCE} does not have this once, so there is no twin ${NAME}: ${WAS}")
endif()
string(REPLACE "${WAS}" "${BECOMES}" text "${text}")
file(WRITE ${TO} "#define Balancer Balancer_${NAME}
${text}
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
