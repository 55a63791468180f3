//! Reference-counted arena of values that many claims share.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, DefaultHasher, Hash};
use std::sync::Arc;

/// Position of a value in its [`InternTable`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct InternKey(u32);

#[derive(Debug)]
struct InternSlot<T: ?Sized> {
    value: Arc<T>,
    uses: u32,
}

// Derived `Clone` would ask for `T: Clone`, which `str` is not.
impl<T: ?Sized> Clone for InternSlot<T> {
    fn clone(&self) -> Self {
        Self { value: Arc::clone(&self.value), uses: self.uses }
    }
}

impl InternKey {
    pub(super) fn position(self) -> usize {
        self.0 as usize
    }
}

/// Stores each distinct value once, for as long as a claim uses it.
///
/// Values are counted because target incarnations and entry runs would otherwise accumulate
/// for the life of the cluster.
#[derive(Debug)]
pub(super) struct InternTable<T: ?Sized> {
    slots: Vec<Option<InternSlot<T>>>,
    free: Vec<u32>,
    // Fixed hash keys: the core has no random source.
    lookup: HashMap<Arc<T>, u32, BuildHasherDefault<DefaultHasher>>,
}

impl<T: ?Sized> Clone for InternTable<T> {
    fn clone(&self) -> Self {
        Self { slots: self.slots.clone(), free: self.free.clone(), lookup: self.lookup.clone() }
    }
}

impl<T: ?Sized + Eq + Hash> InternTable<T> {
    pub(super) fn new() -> Self {
        Self { slots: Vec::new(), free: Vec::new(), lookup: HashMap::default() }
    }

    /// Returns the key of a value and counts one more use of it.
    pub(super) fn acquire<V>(&mut self, value: V) -> InternKey
    where
        V: std::borrow::Borrow<T> + Into<Arc<T>>,
    {
        if let Some(&position) = self.lookup.get(value.borrow()) {
            self.retain(InternKey(position));
            return InternKey(position);
        }
        let value: Arc<T> = value.into();
        let slot = Some(InternSlot { value: Arc::clone(&value), uses: 1 });
        let position = match self.free.pop() {
            Some(position) => {
                self.slots[position as usize] = slot;
                position
            }
            None => {
                self.slots.push(slot);
                (self.slots.len() - 1) as u32
            }
        };
        self.lookup.insert(value, position);
        InternKey(position)
    }

    /// Counts one more use of a key that is in use.
    pub(super) fn retain(&mut self, key: InternKey) {
        if let Some(slot) = &mut self.slots[key.0 as usize] {
            slot.uses += 1;
        }
    }

    /// Counts one use less and forgets the value after the last one.
    pub(super) fn release(&mut self, key: InternKey) {
        let place = &mut self.slots[key.0 as usize];
        let Some(slot) = place else { return };
        slot.uses -= 1;
        if slot.uses == 0 {
            self.lookup.remove(&slot.value);
            *place = None;
            self.free.push(key.0);
        }
    }

    /// The value of a key that is in use.
    pub(super) fn value(&self, key: InternKey) -> &Arc<T> {
        let slot = self.slots[key.0 as usize].as_ref();
        &slot.expect("an intern key in use has a value").value
    }

    /// Number of distinct values in use.
    pub(super) fn len(&self) -> usize {
        self.lookup.len()
    }
}
