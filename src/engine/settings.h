// The module's settings as files of the project's own word them. What the platform says is read by decode.h.
#pragma once

#include <string>

#include "config/table.h"
#include "ochrehub/balancer.h"

namespace ochrehub {

struct NamedClass {
    std::string name;
    ClassSettings settings;
};
struct NamedTenant {
    std::string name;
    TenantSettings settings;
};

config::Table<NamedClass> class_settings();
config::Table<NamedTenant> tenant_settings();
// Each a part of Settings.
config::Table<Settings> limit_settings();
config::Table<Settings> safety_settings();
config::Table<Settings> price_settings();
config::Table<Settings> health_settings();

}  // namespace ochrehub
