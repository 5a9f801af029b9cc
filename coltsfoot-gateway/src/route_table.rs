//! Finds the route and the customer of a request.

use std::sync;

use rustc_hash::FxHashMap;

use crate::{rendezvous, rules};

/// Why a request is not allowed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AccessDenial {
    /// No route takes the host and path.
    NoRoute,
    /// The route needs a key, and the request has none or an unknown one.
    UnknownKey,
}

/// A request that is allowed.
#[derive(Clone, Debug)]
pub struct GrantedAccess {
    /// The route.
    pub route: sync::Arc<rules::RouteRule>,
    /// The customer whose key came with the request.
    pub customer: Option<sync::Arc<rules::CustomerRule>>,
}

/// The configuration in force, indexed for look-ups.
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

    /// Returns the configuration.
    pub fn rules(&self) -> &rules::GatewayRules {
        &self.rules
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&sync::Arc<rules::ServiceRule>> {
        self.services.get(name)
    }

    /// Returns the route with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&sync::Arc<rules::RouteRule>> {
        let host = host.split_once(':').map_or(host, |(host, _)| host).to_ascii_lowercase();
        let routes = self.by_host.get(host.as_str())?;
        routes.iter().find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Decides whether a request is allowed.
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

/// Returns the service that serves a request of a route: always the same one for a request id, each
/// service in proportion to its weight.
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
