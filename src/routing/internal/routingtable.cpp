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
                   "route " + Route.Name + " has no positive timeout",
                   "set a timeout of at least 1 ms for the route"};
    const std::string Name = Route.Name;
    auto &Prefixes = Table.Hosts[Route.Host];
    const std::string Prefix = Route.PathPrefix;
    if (!Prefixes.emplace(Prefix, std::move(Route)).second)
      return Error{ErrorKind::Conflict,
                   "route " + Name +
                       " has the same host and prefix as another route",
                   "remove one of the two routes"};
  }
  return Table;
}

const QueueRoute *RoutingTable::find(const std::string &Host,
                                     std::string_view Path) const {
  const auto HostIt = Hosts.find(Host);
  if (HostIt == Hosts.end())
    return nullptr;
  // All prefixes of a path sort at or before it, longer ones later. Going
  // backwards from the path, the first match is the longest one.
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
