#ifndef SAPPHIREMOOR_CONFIGURATION_SETTINGSFILE_H
#define SAPPHIREMOOR_CONFIGURATION_SETTINGSFILE_H

#include "configuration/types/settings.h"
#include "framework/core/result.h"

#include <string>
#include <string_view>

namespace sapphiremoor {

/// Parses the settings of one VM, which are JSON with comments.
///
/// Error messages start with \p FileName, line and column as "FILE:LINE:COLUMN:
/// ..." (both count from 1; columns count characters), and each error has a
/// remedy. Kinds: BadJson for invalid JSON, UnknownSetting, BadRequest for a
/// value of the wrong type, OutOfRange, MissingKey for a missing required
/// setting, Contradiction for a setting or VM that is given twice, and for an
/// unknown voter.
///
/// The list of peers may contain this VM once, so that all VMs can share one
/// list. That entry is left out of Settings::Peers.
Result<Settings> parseSettings(std::string_view Text,
                               const std::string &FileName);

/// Returns the one-way network delay to \p DataCentre: zero for the VM's own
/// data centre, 1 ms if the setting "hops" does not contain the data centre.
Duration hopDelay(const Settings &VmSettings, const std::string &DataCentre);

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_CONFIGURATION_SETTINGSFILE_H
