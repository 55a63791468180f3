//! Reference-counted intern table for values that many claims share.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, DefaultHasher, Hash};
use std::sync::Arc;

/// Position of a value in its [`InternTable`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct InternKey(u32);

#[derive(Debug)]
struct InternSlot<T: ?Sized> {
    value: Arc<T>,
    ref_count: u32,
}

// A derived `Clone` would require `T: Clone`, which `str` does not implement.
impl<T: ?Sized> Clone for InternSlot<T> {
    fn clone(&self) -> Self {
        Self { value: Arc::clone(&self.value), ref_count: self.ref_count }
    }
}

impl InternKey {
    pub(super) fn position(self) -> usize {
        self.0 as usize
    }
}

/// Stores each distinct value once, for as long as a claim refers to it.
///
/// References are counted because target incarnations and entry ids would otherwise accumulate
/// for the lifetime of the cluster.
#[derive(Debug)]
pub(super) struct InternTable<T: ?Sized> {
    slots: Vec<Option<InternSlot<T>>>,
    free: Vec<u32>,
    // The hasher is not seeded randomly, because this crate draws no random numbers.
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

    /// Interns a value, adds a reference to it and returns its key.
    pub(super) fn acquire<V>(&mut self, value: V) -> InternKey
    where
        V: std::borrow::Borrow<T> + Into<Arc<T>>,
    {
        if let Some(&position) = self.lookup.get(value.borrow()) {
            self.retain(InternKey(position));
            return InternKey(position);
        }
        let value: Arc<T> = value.into();
        let slot = Some(InternSlot { value: Arc::clone(&value), ref_count: 1 });
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

    /// Adds a reference to the value of a key that is in use.
    pub(super) fn retain(&mut self, key: InternKey) {
        if let Some(slot) = &mut self.slots[key.0 as usize] {
            slot.ref_count += 1;
        }
    }

    /// Drops a reference, and removes the value if it was the last one.
    pub(super) fn release(&mut self, key: InternKey) {
        let entry = &mut self.slots[key.0 as usize];
        let Some(slot) = entry else { return };
        slot.ref_count -= 1;
        if slot.ref_count == 0 {
            self.lookup.remove(&slot.value);
            *entry = None;
            self.free.push(key.0);
        }
    }

    /// Returns the value of a key that is in use.
    pub(super) fn value(&self, key: InternKey) -> &Arc<T> {
        let slot = self.slots[key.0 as usize].as_ref();
        &slot.expect("an intern key in use has a value").value
    }

    /// Returns the number of distinct values in use.
    pub(super) fn len(&self) -> usize {
        self.lookup.len()
    }
}
