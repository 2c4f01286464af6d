#include "routing/routingtable.h"

namespace sapphiremoor {

Result<RoutingTable>
RoutingTable::build(uint64_t Version, std::vector<QueueRoute> Routes,
                    const std::set<std::string> &Services) {
  RoutingTable Built;
  Built.Version = Version;
  for (QueueRoute &Each : Routes) {
    if (!Services.contains(Each.Policy.Service))
      return Error{ErrorKind::UnknownService,
                   "route " + Each.Name + " names the unknown service " +
                       Each.Policy.Service,
                   "declare the service or correct the route"};
    if (Each.TimeoutMs <= 0)
      return Error{ErrorKind::OutOfRange,
                   "route " + Each.Name + " has no time to answer",
                   "give the route a timeout of at least 1 ms"};
    const std::string Name = Each.Name;
    auto &Prefixes = Built.Hosts[Each.Host];
    const std::string Prefix = Each.PathPrefix;
    if (!Prefixes.emplace(Prefix, std::move(Each)).second)
      return Error{ErrorKind::Conflict,
                   "route " + Name + " repeats the host and prefix of another",
                   "remove one of the two routes"};
  }
  return Built;
}

const QueueRoute *RoutingTable::find(const std::string &Host,
                                     std::string_view Path) const {
  const auto Known = Hosts.find(Host);
  if (Known == Hosts.end())
    return nullptr;
  // Prefixes of the path sort before it; the longest one is met first when
  // going back from it.
  const auto &Prefixes = Known->second;
  auto Each = Prefixes.upper_bound(Path);
  while (Each != Prefixes.begin()) {
    --Each;
    if (Path.starts_with(Each->first))
      return &Each->second;
  }
  return nullptr;
}

} // namespace sapphiremoor
