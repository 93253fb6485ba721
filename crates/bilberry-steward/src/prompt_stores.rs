//! Stores of kept prompts, followed on behalf of entries.
//!
//! A store answers few such questions at once, far fewer than there are entries.
//! So one sidecar of each service asks, and tells the entries that are connected
//! to it what the store holds.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;

use tokio::task::JoinHandle;

use crate::CacheView;
use crate::Engine;

/// The stores that some entry asks for.
#[derive(Debug)]
pub struct PromptStores<E> {
    open: fn(SocketAddr) -> E,
    followed: Mutex<HashMap<SocketAddr, Weak<FollowedStore>>>,
}

/// One store, followed until this is dropped.
#[derive(Debug)]
pub struct FollowedStore {
    /// What the store holds.
    pub view: Arc<CacheView>,
    following: JoinHandle<()>,
}

impl<E: Engine> PromptStores<E> {
    /// Follows nothing yet; `open` makes a client for a store's address.
    ///
    /// A store speaks as engines do where its cache is concerned.
    pub fn new(open: fn(SocketAddr) -> E) -> Self {
        Self { open, followed: Mutex::default() }
    }

    /// Returns a store, which is followed for as long as anybody has it.
    pub fn follow(&self, address: SocketAddr) -> Arc<FollowedStore> {
        let mut followed = self.followed.lock().unwrap();
        followed.retain(|_, store| store.strong_count() > 0);
        if let Some(store) = followed.get(&address).and_then(Weak::upgrade) {
            return store;
        }
        let view = Arc::new(CacheView::new());
        let following = tokio::spawn(view.clone().follow((self.open)(address)));
        let store = Arc::new(FollowedStore { view, following });
        followed.insert(address, Arc::downgrade(&store));
        store
    }
}

impl Drop for FollowedStore {
    fn drop(&mut self) {
        self.following.abort();
    }
}
