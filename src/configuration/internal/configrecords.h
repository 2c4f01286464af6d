#ifndef SAPPHIREMOOR_CONFIGURATION_INTERNAL_CONFIGRECORDS_H
#define SAPPHIREMOOR_CONFIGURATION_INTERNAL_CONFIGRECORDS_H

#include "configuration/types/configstate.h"

namespace sapphiremoor {

/// Drops the oldest history records, decided requests and records of removed
/// files beyond MaxHistoryRecords, MaxDecidedRequests and MaxRemovedFiles.
void trimRecords(ConfigState &State);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CONFIGURATION_INTERNAL_CONFIGRECORDS_H
