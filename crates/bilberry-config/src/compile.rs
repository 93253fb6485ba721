//! Merging and checking pieces.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use bilberry_core::Name;
use bilberry_core::Place;

use crate::ConfigError;
use crate::Customer;
use crate::KeyHash;
use crate::Model;
use crate::Piece;
use crate::PieceFile;
use crate::Pool;
use crate::Service;
use crate::Upstream;
use crate::UpstreamKind;

/// All pieces, merged and checked, as the request path reads them.
#[derive(Debug, Default)]
pub struct Compiled {
    /// The revision; zero before the first configuration.
    pub revision: u64,
    /// Customers by the hash of a key.
    pub by_key_hash: HashMap<KeyHash, Arc<Customer>>,
    /// Models by name.
    pub models: BTreeMap<Name, Arc<Model>>,
    /// Pools by name.
    pub pools: BTreeMap<Name, Arc<Pool>>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<Name, Arc<Upstream>>,
    /// Upstreams by pool.
    pub by_pool: BTreeMap<Name, Vec<Arc<Upstream>>>,
    /// Services by name.
    pub services: BTreeMap<Name, Arc<Service>>,
}

/// Parses and merges files in the order given and checks the whole.
pub fn compile(revision: u64, files: &[PieceFile]) -> Result<Compiled, ConfigError> {
    let mut pieces = Vec::new();
    for file in files {
        pieces.push((file.file.clone(), Arc::new(Piece::parse(file)?)));
    }
    merge(revision, &pieces)
}

/// Merges parsed files in the order given and checks the whole.
pub fn merge(
    revision: u64,
    pieces: &[(Name, Arc<Piece>)],
) -> Result<Compiled, ConfigError> {
    let mut merge = Merge::default();
    for (file, piece) in pieces {
        merge.add(file, piece)?;
    }
    merge.finish(revision)
}

/// Things of one kind by name, each with the file that defined it.
type Defined<T> = BTreeMap<Name, (Name, Arc<T>)>;

/// The merge in progress.
#[derive(Debug, Default)]
struct Merge {
    customers: Defined<Customer>,
    models: Defined<Model>,
    pools: Defined<Pool>,
    upstreams: Defined<Upstream>,
    services: Defined<Service>,
    owners: BTreeMap<Name, Name>,
}

impl Merge {
    fn add(&mut self, file: &Name, piece: &Piece) -> Result<(), ConfigError> {
        self.own(file, &piece.owner)?;
        for it in &piece.customer {
            put(&mut self.customers, "customer", file, &it.name, it)?;
        }
        for it in &piece.model {
            put(&mut self.models, "model", file, &it.name, it)?;
        }
        for it in &piece.pool {
            put(&mut self.pools, "pool", file, &it.name, it)?;
        }
        for it in &piece.upstream {
            put(&mut self.upstreams, "upstream", file, &it.name, it)?;
        }
        for it in &piece.service {
            put(&mut self.services, "service", file, &it.name, it)?;
        }
        Ok(())
    }

    /// Notes the owner of a file, unless another business has a file of its name.
    fn own(&mut self, file: &Name, owner: &Name) -> Result<(), ConfigError> {
        match self.owners.insert(file.clone(), owner.clone()) {
            None => Ok(()),
            Some(first) => Err(ConfigError::Twice {
                kind: "file",
                name: file.to_string(),
                first: format!("{file} of {first}"),
                second: format!("{file} of {owner}"),
            }),
        }
    }

    fn finish(self, revision: u64) -> Result<Compiled, ConfigError> {
        self.check_customers()?;
        self.check_pools()?;
        self.check_upstreams()?;
        let by_key_hash = index_keys(&self.customers)?;
        let upstreams = shared(self.upstreams);
        let mut by_pool: BTreeMap<Name, Vec<Arc<Upstream>>> = BTreeMap::new();
        for upstream in upstreams.values() {
            by_pool.entry(upstream.pool.clone()).or_default().push(upstream.clone());
        }
        Ok(Compiled {
            revision,
            by_key_hash,
            models: shared(self.models),
            pools: shared(self.pools),
            upstreams,
            by_pool,
            services: shared(self.services),
        })
    }

    fn check_customers(&self) -> Result<(), ConfigError> {
        for (file, customer) in self.customers.values() {
            let value = bad_value(file, "customer", &customer.name);
            if customer.weight == 0 {
                return Err(value("weight", "is zero", "give a weight of one or more"));
            }
            if customer.rate_per_s.is_nan() || customer.rate_per_s <= 0.0 {
                return Err(value("rate_per_s", "is not above zero", "give a rate"));
            }
            if customer.concurrency == 0 {
                return Err(value(
                    "concurrency",
                    "is zero",
                    "allow at least one request",
                ));
            }
            for model in &customer.models {
                let known = self.models.contains_key(model);
                need(known, file, "customer", &customer.name, "model", model)?;
            }
            for service in &customer.services {
                let known = self.services.contains_key(service);
                need(known, file, "customer", &customer.name, "service", service)?;
            }
        }
        Ok(())
    }

    fn check_pools(&self) -> Result<(), ConfigError> {
        for (file, pool) in self.pools.values() {
            let value = bad_value(file, "pool", &pool.name);
            if !(0.0..=100.0).contains(&pool.recompute_weight) {
                let remedy =
                    "1 minimises each caller's own wait; 2 spares others' blocks";
                return Err(value("recompute_weight", "is not in 0 to 100", remedy));
            }
            if pool.probes == 0 || pool.probes > 16 {
                return Err(value("probes", "is not in 1 to 16", "5 serves most pools"));
            }
            if pool.max_loads == 0 {
                return Err(value("max_loads", "is zero", "allow at least one load"));
            }
            let policies = ["probe", "rendezvous", "least_loaded", "round_robin"];
            if !policies.contains(&pool.policy.as_str()) {
                let remedy = "use `probe`, `rendezvous`, `least_loaded` or `round_robin`";
                return Err(value("policy", "is unknown", remedy));
            }
        }
        Ok(())
    }

    fn check_upstreams(&self) -> Result<(), ConfigError> {
        for (file, model) in self.models.values() {
            let known = self.pools.contains_key(&model.pool);
            need(known, file, "model", &model.name, "pool", &model.pool)?;
        }
        for (file, service) in self.services.values() {
            let known = self.pools.contains_key(&service.pool);
            need(known, file, "service", &service.name, "pool", &service.pool)?;
        }
        for (file, upstream) in self.upstreams.values() {
            let known = self.pools.contains_key(&upstream.pool);
            need(known, file, "upstream", &upstream.name, "pool", &upstream.pool)?;
            let value = bad_value(file, "upstream", &upstream.name);
            if Place::parse(&upstream.place).is_none() {
                return Err(value("place", "is no place", "write it as `region/hall`"));
            }
            if upstream.max_running == 0 {
                return Err(value(
                    "max_running",
                    "is zero",
                    "allow at least one request",
                ));
            }
            if upstream.kind == UpstreamKind::Service && upstream.checks_fencing {
                let remedy = "remove it: a plain service takes no orders";
                return Err(value("checks_fencing", "is set for a service", remedy));
            }
        }
        Ok(())
    }
}

/// Indexes customers by the hashes of their keys.
fn index_keys(
    customers: &Defined<Customer>,
) -> Result<HashMap<KeyHash, Arc<Customer>>, ConfigError> {
    let mut index: HashMap<KeyHash, Arc<Customer>> = HashMap::new();
    for (file, customer) in customers.values() {
        for hash in &customer.key_hashes {
            let Some(other) = index.insert(*hash, customer.clone()) else { continue };
            // One key for two customers would let one read the other's cache.
            return Err(ConfigError::Twice {
                kind: "key hash",
                name: String::from(*hash),
                first: customers[&other.name].0.to_string(),
                second: file.to_string(),
            });
        }
    }
    Ok(index)
}

/// Defines a thing, unless a file has defined it before.
fn put<T>(
    map: &mut Defined<T>,
    kind: &'static str,
    file: &Name,
    name: &Name,
    value: &Arc<T>,
) -> Result<(), ConfigError> {
    match map.insert(name.clone(), (file.clone(), value.clone())) {
        None => Ok(()),
        Some((first, _)) => Err(ConfigError::Twice {
            kind,
            name: name.to_string(),
            first: first.to_string(),
            second: file.to_string(),
        }),
    }
}

/// Refuses a name that no piece defines.
fn need(
    known: bool,
    file: &Name,
    kind: &'static str,
    name: &Name,
    wanted_kind: &'static str,
    wanted: &Name,
) -> Result<(), ConfigError> {
    match known {
        true => Ok(()),
        false => Err(ConfigError::Dangling {
            file: file.to_string(),
            kind,
            name: name.to_string(),
            wanted_kind,
            wanted: wanted.to_string(),
        }),
    }
}

/// Returns what builds the errors on values of one thing from key, problem and
/// remedy.
fn bad_value(
    file: &Name,
    kind: &'static str,
    name: &Name,
) -> impl Fn(&'static str, &'static str, &'static str) -> ConfigError {
    move |key, problem, remedy| ConfigError::Value {
        file: file.to_string(),
        kind,
        name: name.to_string(),
        key,
        problem,
        remedy,
    }
}

fn shared<T>(map: Defined<T>) -> BTreeMap<Name, Arc<T>> {
    map.into_iter().map(|(name, (_, value))| (name, value)).collect()
}
