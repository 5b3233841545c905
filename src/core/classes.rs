//! Classes of messages by name, which may change while an instance runs. A message keeps the class that it was taken on
//! under: a class that changes is another one from then on, and one that is dropped stays for the messages that have it.

use super::record::{AcceptedMessage, RecordedClass};
use crate::interface::{ClassId, ClassSettings, DestinationId, Effect, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// All classes that any message may have, and which of them a name stands for now.
#[derive(Debug)]
pub(super) struct Classes {
    /// Numbers of those that a hand-in may name.
    names: BTreeMap<String, usize>,
    /// By number.
    all: Vec<ClassSettings>,
    /// The numbers that a name has had.
    versions: BTreeMap<String, Vec<usize>>,
    /// Destinations that drop no repeats, and what a keyed class is there.
    plain: BTreeSet<DestinationId>,
    stricter: BTreeMap<usize, usize>,
}

impl Classes {
    /// Those of a start. `all` may hold more than are named.
    pub fn new(
        all: Vec<ClassSettings>, names: BTreeMap<String, usize>, plain: BTreeSet<DestinationId>,
    ) -> Classes {
        let versions = names.iter().map(|(name, number)| (name.clone(), vec![*number])).collect();
        let mut classes = Classes { names, all, versions, plain, stricter: BTreeMap::new() };
        (0..classes.all.len()).for_each(|number| classes.add_stricter(number));
        classes
    }

    /// From now on just these names stand for classes.
    pub fn replace(&mut self, settings: &[ClassSettings], names: &BTreeMap<String, usize>) {
        let known = names.iter().filter_map(|(name, i)| Some((name, settings.get(*i)?)));
        self.names = known.map(|(name, class)| (name.clone(), self.version(name, class))).collect();
    }

    /// The number of a class of this name with these settings, which it may have had before.
    fn version(&mut self, name: &str, class: &ClassSettings) -> usize {
        let versions = self.versions.entry(name.to_owned()).or_default();
        if let Some(number) = versions.iter().find(|number| self.all[**number] == *class) {
            return *number;
        }
        let number = self.all.len();
        versions.push(number);
        self.all.push(class.clone());
        self.add_stricter(number);
        number
    }

    /// Where repeats are not dropped, a keyed message is as one that must not be repeated.
    fn add_stricter(&mut self, number: usize) {
        let class = &self.all[number];
        if self.plain.is_empty() || !matches!(class.effect, Effect::Keyed { .. }) {
            return;
        }
        self.stricter.insert(number, self.all.len());
        self.all.push(ClassSettings { effect: Effect::Unsafe, ..class.clone() });
    }

    /// All of them, as the module has them by number.
    pub fn all(&self) -> &[ClassSettings] {
        &self.all
    }

    /// A hand-in may name this class.
    pub fn is_named(&self, name: &str) -> bool {
        self.names.contains_key(name)
    }

    /// The class by this name, as it is now.
    pub fn now(&self, name: &str) -> Option<RecordedClass> {
        self.names.get(name).map(|number| RecordedClass::from(&self.all[*number]))
    }

    /// That of a message: as it was when that was taken on, or what its name stands for now where the log does not say.
    pub fn of(&mut self, taken: &AcceptedMessage) -> Option<ClassId> {
        let number = match taken.recorded_class {
            Some(then) => self.version(&taken.class, &ClassSettings::from(then)),
            None => *self.names.get(&taken.class)?,
        };
        let is_plain = self.plain.contains(&DestinationId(taken.destination));
        let stricter = self.stricter.get(&number).filter(|_| is_plain);
        Some(ClassId(stricter.copied().unwrap_or(number)))
    }

    /// The time that a message of this name has, if it is taken on now.
    pub fn give_up(&self, name: &str) -> Option<Micros> {
        self.names.get(name).map(|number| self.all[*number].give_up_after)
    }

    /// The longest time that any message may have.
    pub fn longest(&self) -> Micros {
        self.all.iter().map(|class| class.give_up_after).max().unwrap_or_default()
    }

    /// What a repeat does; the strictest, where nothing says it.
    pub fn effect(&self, class: Option<ClassId>) -> Effect {
        class.and_then(|class| self.all.get(class.0)).map_or(Effect::Unsafe, |class| class.effect)
    }
}
