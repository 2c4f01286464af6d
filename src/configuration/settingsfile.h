#ifndef SAPPHIREMOOR_CONFIGURATION_SETTINGSFILE_H
#define SAPPHIREMOOR_CONFIGURATION_SETTINGSFILE_H

#include "configuration/types/settings.h"
#include "framework/core/result.h"

#include <string>
#include <string_view>

namespace sapphiremoor {

/// Parses the settings of one VM, which are JSON with comments.
///
/// Errors name \p FileName, the line and the column (both from 1; columns count
/// characters) as "FILE:LINE:COLUMN: ..." and carry a remedy. Kinds: BadJson
/// for broken JSON, UnknownSetting, BadRequest for a value of the wrong type,
/// OutOfRange, MissingKey for a missing required setting, Contradiction for a
/// setting or VM that is given twice, and for an unknown voter.
///
/// The list of peers may contain this VM once, so that all VMs can share one
/// list; that entry is left out of Settings::Peers.
Result<Settings> parseSettings(std::string_view Text,
                               const std::string &FileName);

/// Returns the time one way to \p DataCentre: zero for the VM's own, and 1 ms
/// for one that the setting "hops" does not name.
Duration hopDelay(const Settings &VmSettings, const std::string &DataCentre);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CONFIGURATION_SETTINGSFILE_H
