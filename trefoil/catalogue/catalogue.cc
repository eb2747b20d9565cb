#include "trefoil/catalogue/catalogue.h"

#include <Poco/String.h>

namespace trefoil {

CatalogueIndex
MakeCatalogueIndex(const Catalogue& aCatalogue)
{
  CatalogueIndex index;
  for (std::size_t i = 0; i < aCatalogue.mRoutes.size(); ++i) {
    const Route& route = aCatalogue.mRoutes[i];
    index.mRoutes[Poco::toLower(route.mHost)].emplace(route.mPathPrefix, i);
  }
  const auto accounts = AccountsOf(aCatalogue);
  for (std::size_t i = 0; i < accounts.size(); ++i) {
    for (const std::string& key : accounts[i].mKeys) {
      index.mAccountsByKey.emplace(key, i);
    }
  }
  return index;
}

const Route*
FindRoute(const Catalogue& aCatalogue,
          const CatalogueIndex& aIndex,
          std::string_view aHost,
          std::string_view aPath)
{
  const auto host =
    aIndex.mRoutes.find(Poco::toLower(std::string{ aHost.substr(0, aHost.find(':')) }));
  if (host == aIndex.mRoutes.end()) {
    return nullptr;
  }
  for (std::size_t slash = aPath.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos : aPath.rfind('/', slash - 1)) {
    const auto route = host->second.find(std::string{ aPath.substr(0, slash + 1) });
    if (route != host->second.end()) {
      return &aCatalogue.mRoutes[route->second];
    }
  }
  return nullptr;
}

std::span<const ClientAccount>
AccountsOf(const Catalogue& aCatalogue)
{
  if (!aCatalogue.mAccounts.has_value()) {
    return {};
  }
  return *aCatalogue.mAccounts;
}

const ClientAccount*
FindAccount(const Catalogue& aCatalogue, const CatalogueIndex& aIndex, std::string_view aKey)
{
  const auto account = aIndex.mAccountsByKey.find(std::string{ aKey });
  return account == aIndex.mAccountsByKey.end() ? nullptr
                                                : &AccountsOf(aCatalogue)[account->second];
}

const RouteTarget*
DrawTarget(const Route& aRoute, std::uint64_t aRandom)
{
  std::uint64_t total = 0;
  for (const RouteTarget& target : aRoute.mTargets) {
    total += static_cast<std::uint64_t>(target.mWeight);
  }
  if (total == 0) {
    return nullptr;
  }
  std::uint64_t remaining = aRandom % total;
  for (const RouteTarget& target : aRoute.mTargets) {
    const auto weight = static_cast<std::uint64_t>(target.mWeight);
    if (remaining < weight) {
      return &target;
    }
    remaining -= weight;
  }
  return nullptr;
}

} // namespace trefoil
