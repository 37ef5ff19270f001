#pragma once

#include "control.pb.h"
#include "greengagehub/workspaces/quota_message.hpp"

namespace greengagehub {

void
ToWire(const QuotaQuery& aQuery, wire::QuotaQuery& aOut);
[[nodiscard]] QuotaQuery
FromWire(const wire::QuotaQuery& aWire);
void
ToWire(const QuotaReport& aReport, wire::QuotaReport& aOut);
[[nodiscard]] QuotaReport
FromWire(const wire::QuotaReport& aWire);

}
