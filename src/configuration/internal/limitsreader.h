#ifndef SAPPHIREMOOR_CONFIGURATION_INTERNAL_LIMITSREADER_H
#define SAPPHIREMOOR_CONFIGURATION_INTERNAL_LIMITSREADER_H

#include "configuration/internal/jsonreader.h"
#include "configuration/types/settings.h"

namespace sapphiremoor {

/// Reads the object "limits". Absent settings keep their defaults.
Limits readLimits(JsonReader &Reader, const JsonNode &Node);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CONFIGURATION_INTERNAL_LIMITSREADER_H
