//! Looks up the route and the customer of a request and decides whether it is authorized.

use std::sync;

use rustc_hash::FxHashMap;

use crate::{rendezvous, rules};

/// Why a request is not authorized.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AccessDenial {
    /// No route matches the host and path.
    NoRoute,
    /// The route requires a key, and the request has none or an unknown one.
    UnknownKey,
}

/// Route and customer of an authorized request.
#[derive(Clone, Debug)]
pub struct GrantedAccess {
    /// Route with the longest matching prefix.
    pub route: sync::Arc<rules::RouteRule>,
    /// Customer that the request's key belongs to, if it has a known one.
    pub customer: Option<sync::Arc<rules::CustomerRule>>,
}

/// The active configuration, indexed for look-ups.
#[derive(Debug)]
pub struct RouteTable {
    rules: rules::GatewayRules,
    by_host: FxHashMap<sync::Arc<str>, Vec<sync::Arc<rules::RouteRule>>>,
    by_key: FxHashMap<sync::Arc<str>, sync::Arc<rules::CustomerRule>>,
    services: FxHashMap<sync::Arc<str>, sync::Arc<rules::ServiceRule>>,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(rules: rules::GatewayRules) -> Self {
        let mut by_host: FxHashMap<_, Vec<sync::Arc<rules::RouteRule>>> = FxHashMap::default();
        for route in &rules.routes {
            by_host.entry(sync::Arc::clone(&route.host)).or_default().push(sync::Arc::clone(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let mut by_key = FxHashMap::default();
        for customer in &rules.customers {
            for key in &customer.keys {
                by_key.insert(sync::Arc::clone(key), sync::Arc::clone(customer));
            }
        }
        let named = rules.services.iter();
        let services =
            named.map(|service| (sync::Arc::clone(&service.name), sync::Arc::clone(service)));
        let services = services.collect();
        Self { by_host, by_key, services, rules }
    }

    /// Returns the configuration that the table was built from.
    pub fn rules(&self) -> &rules::GatewayRules {
        &self.rules
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &str) -> Option<&sync::Arc<rules::ServiceRule>> {
        self.services.get(name)
    }

    /// Returns the route of a host with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&sync::Arc<rules::RouteRule>> {
        let host = host.split_once(':').map_or(host, |(host, _)| host).to_ascii_lowercase();
        let routes = self.by_host.get(host.as_str())?;
        routes.iter().find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Returns the route and the customer of a request, or why it is denied.
    pub fn authorize(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<GrantedAccess, AccessDenial> {
        let route = self.route(host, path).ok_or(AccessDenial::NoRoute)?;
        let customer = key.and_then(|key| self.by_key.get(key)).cloned();
        if customer.is_none() && !route.is_auth_exempt && !self.rules.customers.is_empty() {
            return Err(AccessDenial::UnknownKey);
        }
        Ok(GrantedAccess { route: sync::Arc::clone(route), customer })
    }
}

/// Picks the service for a request of a route, in proportion to the weights and always the same for
/// one request id.
pub fn pick_service(route: &rules::RouteRule, request_id: &str) -> Option<sync::Arc<str>> {
    let total: u64 = route.services.iter().map(|share| u64::from(share.weight)).sum();
    if total == 0 {
        return route.services.first().map(|share| sync::Arc::clone(&share.service));
    }
    let mut point = rendezvous::hash_of(&request_id) % total;
    for share in &route.services {
        let weight = u64::from(share.weight);
        if point < weight {
            return Some(sync::Arc::clone(&share.service));
        }
        point -= weight;
    }
    None
}
