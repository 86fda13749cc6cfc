//! The difference between two versions of a configuration.
//!
//! Each list is described by pieces: runs that are copied from the base and
//! items that are new. The order of the result is thereby exact, and one
//! changed item costs that item and two runs.

use std::sync::Arc;

use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};

use crate::{
    config::{Config, Content, ContentHash},
    customer::Customer,
    data_centre::DataCentre,
    endpoint::Endpoint,
    name::Name,
    rule::Rule,
    service::Service,
};

/// Turns one version of a configuration into a newer one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Version that the delta applies to.
    pub base_version: u64,
    /// Content that the delta applies to.
    pub base: ContentHash,
    /// Version of the result.
    pub version: u64,
    /// Content of the result.
    pub result: ContentHash,
    entry_lifetime_ms: u64,
    data_centres: Vec<Piece<DataCentre>>,
    services: Vec<Piece<ServiceDelta>>,
    customers: Vec<Piece<Customer>>,
    rules: Vec<Piece<Rule>>,
}

/// Why a delta can't be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// The delta belongs to another base.
    #[error("the delta belongs to another base")]
    OtherBase,
    /// A piece names items that the base doesn't have, or names them twice.
    #[error("a piece of the delta doesn't fit its base")]
    Piece,
    /// The result is not what the sender has.
    #[error("the result of the delta is not what the sender has")]
    OtherResult,
    /// The result can't be encoded.
    #[error("the result can't be encoded")]
    Encoding,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Piece<T> {
    /// A run of items of the base.
    Copy { from: u32, count: u32 },
    /// Items that the base doesn't have.
    Insert(Vec<T>),
}

/// A changed or new service; only its changed endpoints are spelled out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ServiceDelta {
    /// Position of the service in the base.
    base: Option<u32>,
    /// The service without its endpoints.
    settings: Service,
    endpoints: Vec<Piece<Endpoint>>,
}

impl Delta {
    /// Returns what turns `base` into `new`, whose contents are given.
    pub fn between(
        base: &Config,
        base_hash: ContentHash,
        new: &Config,
        new_hash: ContentHash,
    ) -> Delta {
        Delta {
            base_version: base.version,
            base: base_hash,
            version: new.version,
            result: new_hash,
            entry_lifetime_ms: new.entry_lifetime_ms,
            data_centres: pieces(&base.data_centres, &new.data_centres, |item| &item.name),
            services: service_pieces(&base.services, &new.services),
            customers: pieces(&base.customers, &new.customers, |item| &item.name),
            rules: pieces(&base.rules, &new.rules, |item| &item.name),
        }
    }

    /// Applies the delta without looking at the content of the result.
    ///
    /// # Errors
    ///
    /// Returns an error if the delta doesn't belong to `base` or doesn't fit.
    pub fn apply(self, base: &Config, base_hash: ContentHash) -> Result<Config, DeltaError> {
        if self.base_version != base.version || self.base != base_hash {
            return Err(DeltaError::OtherBase);
        }
        Ok(Config {
            version: self.version,
            deployment: base.deployment.clone(),
            entry_lifetime_ms: self.entry_lifetime_ms,
            data_centres: assemble(&base.data_centres, self.data_centres)?,
            services: assemble_services(&base.services, self.services)?,
            customers: assemble(&base.customers, self.customers)?,
            rules: assemble(&base.rules, self.rules)?,
        })
    }

    /// Applies a chain of deltas, the oldest first, and compares the last
    /// result with what the sender has.
    ///
    /// # Errors
    ///
    /// Returns an error if a delta doesn't fit or the last result differs.
    pub fn apply_all(
        deltas: Vec<Delta>,
        base: &Arc<Config>,
        base_hash: ContentHash,
    ) -> Result<(Config, Content), DeltaError> {
        let mut config = Config::clone(base);
        let mut hash = base_hash;
        for delta in deltas {
            let result = delta.result;
            config = delta.apply(&config, hash)?;
            hash = result;
        }
        let content = Content::of(&config).map_err(|_| DeltaError::Encoding)?;
        if content.hash != hash { Err(DeltaError::OtherResult) } else { Ok((config, content)) }
    }
}

fn pieces<T: Clone + PartialEq>(base: &[T], new: &[T], name: fn(&T) -> &Name) -> Vec<Piece<T>> {
    let head = base.iter().zip(new).take_while(|(old, new)| old == new).count();
    let (base_rest, new_rest) = (&base[head..], &new[head..]);
    let tail = base_rest
        .iter()
        .rev()
        .zip(new_rest.iter().rev())
        .take_while(|(old, new)| old == new)
        .count();
    let middle = head..base.len() - tail;
    let by_name: FxHashMap<&str, usize> =
        middle.map(|index| (name(&base[index]).as_str(), index)).collect();

    let mut pieces = Vec::new();
    copy(&mut pieces, 0, head);
    for item in &new_rest[..new_rest.len() - tail] {
        match by_name.get(name(item).as_str()) {
            Some(&index) if base[index] == *item => copy(&mut pieces, index, 1),
            _ => insert(&mut pieces, item.clone()),
        }
    }
    copy(&mut pieces, base.len() - tail, tail);
    pieces
}

fn copy<T>(pieces: &mut Vec<Piece<T>>, index: usize, items: usize) {
    if items == 0 {
        return;
    }
    if let Some(Piece::Copy { from, count }) = pieces.last_mut()
        && (*from + *count) as usize == index
    {
        *count += items as u32;
        return;
    }
    pieces.push(Piece::Copy { from: index as u32, count: items as u32 });
}

fn insert<T>(pieces: &mut Vec<Piece<T>>, item: T) {
    if let Some(Piece::Insert(items)) = pieces.last_mut() {
        items.push(item);
        return;
    }
    pieces.push(Piece::Insert(vec![item]));
}

fn service_pieces(base: &[Service], new: &[Service]) -> Vec<Piece<ServiceDelta>> {
    let by_name: FxHashMap<&str, usize> =
        base.iter().enumerate().map(|(index, service)| (service.name.as_str(), index)).collect();
    let describe = |service: Service| {
        let old = by_name.get(service.name.as_str()).copied();
        let old_endpoints = old.map_or(&[][..], |index| &base[index].endpoints);
        let endpoints = pieces(old_endpoints, &service.endpoints, |endpoint| &endpoint.name);
        let settings = Service { endpoints: Vec::new(), ..service };
        ServiceDelta { base: old.map(|index| index as u32), settings, endpoints }
    };
    pieces(base, new, |service| &service.name)
        .into_iter()
        .map(|piece| match piece {
            Piece::Copy { from, count } => Piece::Copy { from, count },
            Piece::Insert(services) => Piece::Insert(services.into_iter().map(describe).collect()),
        })
        .collect()
}

fn assemble<T: Clone>(base: &[T], pieces: Vec<Piece<T>>) -> Result<Vec<T>, DeltaError> {
    assemble_with(base, pieces, Ok)
}

fn assemble_services(
    base: &[Service],
    pieces: Vec<Piece<ServiceDelta>>,
) -> Result<Vec<Service>, DeltaError> {
    let mut used = FxHashSet::default();
    assemble_with(base, pieces, |delta| {
        // A damaged delta that names one large service many times would grow
        // without limit; in a sound one each service of the base occurs once.
        if delta.base.is_some_and(|index| !used.insert(index)) {
            return Err(DeltaError::Piece);
        }
        let old = match delta.base {
            Some(index) => &base.get(index as usize).ok_or(DeltaError::Piece)?.endpoints[..],
            None => &[],
        };
        Ok(Service { endpoints: assemble(old, delta.endpoints)?, ..delta.settings })
    })
}

fn assemble_with<T: Clone, P>(
    base: &[T],
    pieces: Vec<Piece<P>>,
    mut build: impl FnMut(P) -> Result<T, DeltaError>,
) -> Result<Vec<T>, DeltaError> {
    // Names are unique, so no sound delta copies more than the base holds. A
    // damaged one could otherwise ask for endless copies of it.
    let mut left = base.len();
    let mut items = Vec::new();
    for piece in pieces {
        match piece {
            Piece::Copy { from, count } => {
                let (from, count) = (from as usize, count as usize);
                left = left.checked_sub(count).ok_or(DeltaError::Piece)?;
                let run = base.get(from..from + count).ok_or(DeltaError::Piece)?;
                items.extend_from_slice(run);
            }
            Piece::Insert(new) => {
                for item in new {
                    items.push(build(item)?);
                }
            }
        }
    }
    Ok(items)
}
