#include "routing/routingtable.h"

namespace sapphiremoor {

Result<RoutingTable>
RoutingTable::build(uint64_t Version, std::vector<QueueRoute> Routes,
                    const std::set<std::string> &Services) {
  RoutingTable Table;
  Table.Version = Version;
  for (QueueRoute &Route : Routes) {
    if (!Services.contains(Route.Policy.Service))
      return Error{ErrorKind::UnknownService,
                   "route " + Route.Name + " names the unknown service " +
                       Route.Policy.Service,
                   "declare the service or correct the route"};
    if (Route.TimeoutMs <= 0)
      return Error{ErrorKind::OutOfRange,
                   "route " + Route.Name + " has no time to answer",
                   "give the route a timeout of at least 1 ms"};
    const std::string Name = Route.Name;
    auto &Prefixes = Table.Hosts[Route.Host];
    const std::string Prefix = Route.PathPrefix;
    if (!Prefixes.emplace(Prefix, std::move(Route)).second)
      return Error{ErrorKind::Conflict,
                   "route " + Name + " repeats the host and prefix of another",
                   "remove one of the two routes"};
  }
  return Table;
}

const QueueRoute *RoutingTable::find(const std::string &Host,
                                     std::string_view Path) const {
  const auto HostIt = Hosts.find(Host);
  if (HostIt == Hosts.end())
    return nullptr;
  // Prefixes of the path sort before it; the longest one is met first when
  // going back from it.
  const auto &Prefixes = HostIt->second;
  auto PrefixIt = Prefixes.upper_bound(Path);
  while (PrefixIt != Prefixes.begin()) {
    --PrefixIt;
    if (Path.starts_with(PrefixIt->first))
      return &PrefixIt->second;
  }
  return nullptr;
}

} // namespace sapphiremoor
