//! Message classes by name. They may change while the process runs. A message keeps the class under which it
//! was accepted: a class with changed settings is a new version from then on, and a removed class stays for
//! the messages that have it.

use super::record::{AcceptedMessage, RecordedClass};
use crate::interface::{ClassId, ClassSettings, DestinationId, Effect, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// All classes that any message may have, and which of them each name currently stands for.
#[derive(Debug)]
pub(super) struct Classes {
    /// Indices of the classes that a submission may name.
    names: BTreeMap<String, usize>,
    /// All classes by index.
    all: Vec<ClassSettings>,
    /// The indices that each name has stood for.
    versions: BTreeMap<String, Vec<usize>>,
    /// Destinations that do not drop repeats.
    without_dedup: BTreeSet<DestinationId>,
    /// For keyed classes, the index of the class that replaces them for a message whose repeat would not be dropped.
    unsafe_variants: BTreeMap<usize, usize>,
}

impl Classes {
    /// The classes at the start of a process. `all` may hold more classes than have names.
    pub fn new(
        all: Vec<ClassSettings>, names: BTreeMap<String, usize>, without_dedup: BTreeSet<DestinationId>,
    ) -> Classes {
        let versions = names.iter().map(|(name, index)| (name.clone(), vec![*index])).collect();
        Classes { names, all, versions, without_dedup, unsafe_variants: BTreeMap::new() }
    }

    /// Replaces the names: from now on only these stand for classes.
    pub fn replace(&mut self, settings: &[ClassSettings], names: &BTreeMap<String, usize>) {
        let known = names.iter().filter_map(|(name, index)| Some((name, settings.get(*index)?)));
        self.names = known.map(|(name, class)| (name.clone(), self.version(name, class))).collect();
    }

    /// The index of the class with this name and these settings. It is added unless an earlier version has
    /// the same settings.
    fn version(&mut self, name: &str, class: &ClassSettings) -> usize {
        let versions = self.versions.entry(name.to_owned()).or_default();
        if let Some(index) = versions.iter().find(|index| self.all[**index] == *class) {
            return *index;
        }
        let index = self.all.len();
        versions.push(index);
        self.all.push(class.clone());
        index
    }

    /// The variant of a class whose messages must not be repeated once they may have run. It is added when a message
    /// of a keyed class first needs it; for other classes it is the class itself.
    fn without_repeats(&mut self, index: usize) -> usize {
        let class = &self.all[index];
        if !matches!(class.effect, Effect::Keyed { .. }) {
            return index;
        }
        let all = &mut self.all;
        *self.unsafe_variants.entry(index).or_insert_with(|| {
            all.push(ClassSettings { effect: Effect::Unsafe, ..all[index].clone() });
            all.len() - 1
        })
    }

    /// All classes, in the order of the policy engine's class ids.
    pub fn all(&self) -> &[ClassSettings] {
        &self.all
    }

    /// Whether a submission may name this class.
    pub fn is_named(&self, name: &str) -> bool {
        self.names.contains_key(name)
    }

    /// Whether receivers drop the repeat of a message of this class by its key.
    pub fn is_keyed(&self, name: &str) -> bool {
        self.names.get(name).is_some_and(|index| matches!(self.all[*index].effect, Effect::Keyed { .. }))
    }

    /// The class that this name currently stands for.
    pub fn current(&self, name: &str) -> Option<RecordedClass> {
        self.names.get(name).map(|index| RecordedClass::from(&self.all[*index]))
    }

    /// The class of a message: the class under which it was accepted or, where its record does not say, the
    /// class that its name currently stands for.
    pub fn resolve(&mut self, accepted: &AcceptedMessage) -> Option<ClassId> {
        let index = match accepted.recorded_class {
            Some(recorded) => self.version(&accepted.class, &ClassSettings::from(recorded)),
            None => *self.names.get(&accepted.class)?,
        };
        // A receiver drops the repeat of a key that it sees.
        let drops_repeats = !accepted.idempotency_key.is_empty()
            && !self.without_dedup.contains(&DestinationId(accepted.destination));
        Some(ClassId(if drops_repeats { index } else { self.without_repeats(index) }))
    }

    /// The span from submission to deadline of a message of this class that is accepted now.
    pub fn give_up_after(&self, name: &str) -> Option<Micros> {
        self.names.get(name).map(|index| self.all[*index].give_up_after)
    }

    /// The longest span from submission to deadline of all classes.
    pub fn max_give_up_after(&self) -> Micros {
        self.all.iter().map(|class| class.give_up_after).max().unwrap_or_default()
    }

    /// The effect of a class; for an unknown class the strictest.
    pub fn effect(&self, class: Option<ClassId>) -> Effect {
        class.and_then(|class| self.all.get(class.0)).map_or(Effect::Unsafe, |class| class.effect)
    }
}
