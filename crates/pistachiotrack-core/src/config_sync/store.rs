//! The configuration in force, and what peers can be told about it.

use std::{cell::OnceCell, cmp::Ordering, sync::Arc};

use crate::{
    config::{Config, Content, ContentHash, Delta},
    config_sync::{
        history::{History, Step},
        packed::Packed,
        wire::{AnswerRef, Question},
    },
};

/// A checked configuration that was offered.
#[derive(Clone, Debug)]
pub(super) struct Offer {
    pub(super) config: Config,
    pub(super) content: Content,
    /// The deltas that it came by, to be passed on as they are.
    steps: Vec<Step>,
}

/// How an offer compares with the configuration in force.
pub(super) enum Verdict {
    Newer,
    Same,
    Older,
    /// The same version with another content.
    Conflict,
}

/// The configuration in force with its latest deltas.
#[derive(Clone, Debug, Default)]
pub(super) struct Store {
    held: Option<Held>,
    history: History,
}

#[derive(Clone, Debug)]
struct Held {
    config: Arc<Config>,
    content: Content,
    /// The whole for peers, once one has asked for it.
    whole: OnceCell<Option<Packed>>,
}

impl Held {
    fn whole(&self) -> Option<&Packed> {
        let pack = || postcard::to_stdvec(&*self.config).ok().map(Packed::new);
        self.whole.get_or_init(pack).as_ref()
    }
}

impl Offer {
    /// Offers a configuration that came as a whole.
    pub(super) fn whole(config: Config) -> Option<Offer> {
        let content = Content::of(&config).ok()?;
        Some(Offer { config, content, steps: Vec::new() })
    }

    /// Opens a whole configuration that a peer has encoded.
    pub(super) fn open(packed: &Packed) -> Option<Offer> {
        Offer::whole(postcard::from_bytes(&packed.open()?).ok()?)
    }
}

impl Store {
    pub(super) fn config(&self) -> Option<&Arc<Config>> {
        self.held.as_ref().map(|held| &held.config)
    }

    /// Returns version and content in force.
    pub(super) fn held(&self) -> Option<(u64, ContentHash)> {
        self.held.as_ref().map(|held| (held.config.version, held.content.hash))
    }

    /// Answers a peer of the same deployment.
    pub(super) fn answer(&self, question: &Question) -> AnswerRef<'_> {
        let newer = |held: &&Held| Some(held.config.version) > question.newer_than;
        let Some(held) = self.held.as_ref().filter(newer) else { return AnswerRef::Nothing };
        let deltas = question.held.and_then(|(version, hash)| self.history.since(version, hash));
        if let Some(deltas) = deltas
            && total_bytes(&deltas) < held.content.encoded_bytes
        {
            return AnswerRef::Deltas(deltas);
        }
        let whole = |config| AnswerRef::Whole { content: held.content.hash, config };
        held.whole().map_or(AnswerRef::Nothing, whole)
    }

    /// Applies encoded deltas to the configuration in force, if they fit.
    pub(super) fn open_deltas(&self, packed: Vec<Packed>) -> Option<Offer> {
        let held = self.held.as_ref()?;
        let decode = |packed: &Packed| postcard::from_bytes::<Delta>(&packed.open()?).ok();
        let deltas: Vec<Delta> = packed.iter().map(decode).collect::<Option<_>>()?;
        let steps =
            deltas.iter().zip(packed).map(|(delta, packed)| Step::new(delta, packed)).collect();
        let (config, content) = Delta::apply_all(deltas, &held.config, held.content.hash).ok()?;
        Some(Offer { config, content, steps })
    }

    /// Compares an offer with what is in force.
    pub(super) fn verdict(&self, offer: &Offer) -> Verdict {
        let Some(held) = &self.held else { return Verdict::Newer };
        match offer.config.version.cmp(&held.config.version) {
            Ordering::Greater => Verdict::Newer,
            Ordering::Less => Verdict::Older,
            Ordering::Equal if offer.content.hash == held.content.hash => Verdict::Same,
            Ordering::Equal => Verdict::Conflict,
        }
    }

    /// Puts an offer in force.
    pub(super) fn accept(&mut self, offer: Offer) -> Arc<Config> {
        let Offer { config, content, steps } = offer;
        let config = Arc::new(config);
        if steps.is_empty() {
            self.keep_step(&config, content.hash);
        }
        steps.into_iter().for_each(|step| self.history.push(step));
        self.held = Some(Held { config: Arc::clone(&config), content, whole: OnceCell::new() });
        config
    }

    fn keep_step(&mut self, config: &Config, hash: ContentHash) {
        let Some(held) = &self.held else { return };
        let delta = Delta::between(&held.config, held.content.hash, config, hash);
        match postcard::to_stdvec(&delta) {
            Ok(bytes) => self.history.push(Step::new(&delta, Packed::new(bytes))),
            Err(_) => self.history.clear(),
        }
    }
}

fn total_bytes(deltas: &[&Packed]) -> usize {
    deltas.iter().map(|delta| delta.len()).sum()
}
