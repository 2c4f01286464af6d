#ifndef SAPPHIREMOOR_FRAMEWORK_EVENTLOG_EVENT_H
#define SAPPHIREMOOR_FRAMEWORK_EVENTLOG_EVENT_H

#include <span>
#include <string_view>

namespace sapphiremoor {

/// Severity of a log event.
enum class Level { Info, Warning, Error };

/// A numbered log event. docs/events.md describes each event.
struct Event {
  int Number;
  Level Severity;
  std::string_view Name;
};

namespace events {
inline constexpr Event Started{100, Level::Info, "started"};
inline constexpr Event Stopping{101, Level::Info, "stopping"};
inline constexpr Event Stopped{102, Level::Info, "stopped"};
inline constexpr Event SettingsRejected{103, Level::Error, "settings_rejected"};
inline constexpr Event PeerUp{200, Level::Info, "peer_up"};
inline constexpr Event PeerDown{201, Level::Warning, "peer_down"};
inline constexpr Event FrameRejected{202, Level::Warning, "frame_rejected"};
inline constexpr Event DispatcherChanged{203, Level::Info,
                                         "dispatcher_changed"};
inline constexpr Event TrustedNetwork{204, Level::Warning, "trusted_network"};
inline constexpr Event StoodStill{205, Level::Warning, "stood_still"};
inline constexpr Event AcceptFailed{206, Level::Error, "accept_failed"};
inline constexpr Event BackendJoined{300, Level::Info, "backend_joined"};
inline constexpr Event BackendLeaving{301, Level::Info, "backend_leaving"};
inline constexpr Event BackendExpired{302, Level::Warning, "backend_expired"};
inline constexpr Event BackendEjected{303, Level::Warning, "backend_ejected"};
inline constexpr Event OwnershipChanged{304, Level::Info, "ownership_changed"};
inline constexpr Event OwnerTagTaken{305, Level::Error, "owner_tag_taken"};
inline constexpr Event JobDecided{400, Level::Info, "job_decided"};
inline constexpr Event JobRefused{401, Level::Warning, "job_refused"};
inline constexpr Event PrefixSealed{402, Level::Warning, "prefix_sealed"};
inline constexpr Event RequestRejected{403, Level::Warning, "request_rejected"};
inline constexpr Event JobDispatched{404, Level::Info, "job_dispatched"};
inline constexpr Event RunDecided{405, Level::Info, "run_decided"};
inline constexpr Event JobAnswered{406, Level::Info, "job_answered"};
inline constexpr Event LinesDropped{407, Level::Warning, "lines_dropped"};
inline constexpr Event AdmissionRefused{408, Level::Info, "admission_refused"};
inline constexpr Event JobStored{409, Level::Info, "job_stored"};
inline constexpr Event StoredJobEnded{410, Level::Info, "stored_job_ended"};
inline constexpr Event JobsTakenOver{411, Level::Warning, "jobs_taken_over"};
inline constexpr Event JobsHandedOver{412, Level::Warning, "jobs_handed_over"};
inline constexpr Event EndsForgotten{413, Level::Warning, "ends_forgotten"};
inline constexpr Event EndsReportedAgain{414, Level::Warning,
                                         "ends_reported_again"};
inline constexpr Event LeaderElected{500, Level::Info, "leader_elected"};
inline constexpr Event ChangeAccepted{501, Level::Info, "change_accepted"};
inline constexpr Event ChangeInForce{502, Level::Info, "change_in_force"};
inline constexpr Event StorageFailed{503, Level::Error, "storage_failed"};
inline constexpr Event LogRecovered{504, Level::Info, "log_recovered"};
inline constexpr Event ChunkRejected{505, Level::Warning, "chunk_rejected"};
inline constexpr Event VotersChanging{506, Level::Info, "voters_changing"};
inline constexpr Event ChangeRefused{507, Level::Warning, "change_refused"};
inline constexpr Event JobsRecovered{508, Level::Info, "jobs_recovered"};
inline constexpr Event VoterSilent{509, Level::Warning, "voter_silent"};
inline constexpr Event VoterHeard{510, Level::Info, "voter_heard"};
inline constexpr Event ConfigurationUnavailable{511, Level::Warning,
                                                "configuration_unavailable"};
inline constexpr Event StorageRecovered{512, Level::Info, "storage_recovered"};
inline constexpr Event ReadinessChanged{600, Level::Info, "readiness_changed"};
inline constexpr Event SettingsReloaded{601, Level::Info, "settings_reloaded"};
} // namespace events

/// All events, in the order of their numbers.
std::span<const Event> allEvents();

} // namespace sapphiremoor

#endif // SAPPHIREMOOR_FRAMEWORK_EVENTLOG_EVENT_H
