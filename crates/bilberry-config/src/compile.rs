//! Merging and validating configuration pieces.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use bilberry_core::DataCentre;
use bilberry_core::Name;

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

/// The merged and validated configuration, indexed for request handling.
#[derive(Debug, Default)]
pub struct Compiled {
    /// The revision; zero if no configuration has been applied yet.
    pub revision: u64,
    /// Customers by the hash of an API key.
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

/// Parses and merges files in the given order and validates the result.
pub fn compile(revision: u64, files: &[PieceFile]) -> Result<Compiled, ConfigError> {
    let mut pieces = Vec::new();
    for file in files {
        pieces.push((file.file.clone(), Arc::new(Piece::parse(file)?)));
    }
    merge(revision, &pieces)
}

/// Merges parsed files in the given order and validates the result.
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

/// Definitions of one kind by name, each with the file that contains it.
type Definitions<T> = BTreeMap<Name, (Name, Arc<T>)>;

/// The state of a merge.
#[derive(Debug, Default)]
struct Merge {
    customers: Definitions<Customer>,
    models: Definitions<Model>,
    pools: Definitions<Pool>,
    upstreams: Definitions<Upstream>,
    services: Definitions<Service>,
    owners: BTreeMap<Name, Name>,
}

impl Merge {
    fn add(&mut self, file: &Name, piece: &Piece) -> Result<(), ConfigError> {
        self.record_owner(file, &piece.owner)?;
        for item in &piece.customer {
            define(&mut self.customers, "customer", file, &item.name, item)?;
        }
        for item in &piece.model {
            define(&mut self.models, "model", file, &item.name, item)?;
        }
        for item in &piece.pool {
            define(&mut self.pools, "pool", file, &item.name, item)?;
        }
        for item in &piece.upstream {
            define(&mut self.upstreams, "upstream", file, &item.name, item)?;
        }
        for item in &piece.service {
            define(&mut self.services, "service", file, &item.name, item)?;
        }
        Ok(())
    }

    /// Records the owner of a file; fails if another business has a file of that name.
    fn record_owner(&mut self, file: &Name, owner: &Name) -> Result<(), ConfigError> {
        match self.owners.insert(file.clone(), owner.clone()) {
            None => Ok(()),
            Some(first) => Err(ConfigError::Duplicate {
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
        let upstreams = values_by_name(self.upstreams);
        let mut by_pool: BTreeMap<Name, Vec<Arc<Upstream>>> = BTreeMap::new();
        for upstream in upstreams.values() {
            by_pool.entry(upstream.pool.clone()).or_default().push(upstream.clone());
        }
        Ok(Compiled {
            revision,
            by_key_hash,
            models: values_by_name(self.models),
            pools: values_by_name(self.pools),
            upstreams,
            by_pool,
            services: values_by_name(self.services),
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
                require_defined(known, file, "customer", &customer.name, "model", model)?;
            }
            for service in &customer.services {
                let known = self.services.contains_key(service);
                require_defined(
                    known,
                    file,
                    "customer",
                    &customer.name,
                    "service",
                    service,
                )?;
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
            require_defined(known, file, "model", &model.name, "pool", &model.pool)?;
        }
        for (file, service) in self.services.values() {
            let known = self.pools.contains_key(&service.pool);
            require_defined(
                known,
                file,
                "service",
                &service.name,
                "pool",
                &service.pool,
            )?;
        }
        for (file, upstream) in self.upstreams.values() {
            let known = self.pools.contains_key(&upstream.pool);
            require_defined(
                known,
                file,
                "upstream",
                &upstream.name,
                "pool",
                &upstream.pool,
            )?;
            let value = bad_value(file, "upstream", &upstream.name);
            if DataCentre::parse(&upstream.place).is_none() {
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

/// Indexes customers by the hashes of their API keys.
fn index_keys(
    customers: &Definitions<Customer>,
) -> Result<HashMap<KeyHash, Arc<Customer>>, ConfigError> {
    let mut index: HashMap<KeyHash, Arc<Customer>> = HashMap::new();
    for (file, customer) in customers.values() {
        for hash in &customer.key_hashes {
            let Some(other) = index.insert(*hash, customer.clone()) else { continue };
            // A key shared by two customers would let one read the other's cache.
            return Err(ConfigError::Duplicate {
                kind: "key hash",
                name: String::from(*hash),
                first: customers[&other.name].0.to_string(),
                second: file.to_string(),
            });
        }
    }
    Ok(index)
}

/// Adds a definition; fails if an earlier file contains one of the same name.
fn define<T>(
    map: &mut Definitions<T>,
    kind: &'static str,
    file: &Name,
    name: &Name,
    value: &Arc<T>,
) -> Result<(), ConfigError> {
    match map.insert(name.clone(), (file.clone(), value.clone())) {
        None => Ok(()),
        Some((first, _)) => Err(ConfigError::Duplicate {
            kind,
            name: name.to_string(),
            first: first.to_string(),
            second: file.to_string(),
        }),
    }
}

/// Fails if the referenced name is not defined in any piece.
fn require_defined(
    known: bool,
    file: &Name,
    kind: &'static str,
    name: &Name,
    wanted_kind: &'static str,
    wanted: &Name,
) -> Result<(), ConfigError> {
    match known {
        true => Ok(()),
        false => Err(ConfigError::UndefinedReference {
            file: file.to_string(),
            kind,
            name: name.to_string(),
            wanted_kind,
            wanted: wanted.to_string(),
        }),
    }
}

/// Returns a function that builds an error about a value of one definition from
/// the key, the problem and the remedy.
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

fn values_by_name<T>(map: Definitions<T>) -> BTreeMap<Name, Arc<T>> {
    map.into_iter().map(|(name, (_, value))| (name, value)).collect()
}
