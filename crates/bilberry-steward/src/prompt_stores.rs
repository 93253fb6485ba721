//! Following prompt stores on behalf of entries.
//!
//! A store serves only few such requests concurrently, far fewer than there are entries.
//! Therefore one sidecar of each service queries it, and publishes the contents of the
//! store to the entries connected to the sidecar.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;

use tokio::task::JoinHandle;

use crate::CacheView;
use crate::Engine;

/// The stores that at least one entry has requested.
#[derive(Debug)]
pub struct PromptStores<E> {
    new_client: fn(SocketAddr) -> E,
    followed: Mutex<HashMap<SocketAddr, Weak<FollowedStore>>>,
}

/// A store that is followed until this handle is dropped.
#[derive(Debug)]
pub struct FollowedStore {
    /// The contents of the store.
    pub view: Arc<CacheView>,
    follow_task: JoinHandle<()>,
}

impl<E: Engine> PromptStores<E> {
    /// Creates a set without any store; `new_client` creates a client for the address of
    /// a store.
    ///
    /// The client is an [`Engine`], as stores have the same cache interface as engines.
    pub fn new(new_client: fn(SocketAddr) -> E) -> Self {
        Self { new_client, followed: Mutex::default() }
    }

    /// Returns a store, which is followed for as long as a handle to it exists.
    pub fn follow(&self, address: SocketAddr) -> Arc<FollowedStore> {
        let mut followed = self.followed.lock().unwrap();
        followed.retain(|_, store| store.strong_count() > 0);
        if let Some(store) = followed.get(&address).and_then(Weak::upgrade) {
            return store;
        }
        let view = Arc::new(CacheView::new());
        let client = (self.new_client)(address);
        let follow_task = tokio::spawn(view.clone().follow(client));
        let store = Arc::new(FollowedStore { view, follow_task });
        followed.insert(address, Arc::downgrade(&store));
        store
    }
}

impl Drop for FollowedStore {
    fn drop(&mut self) {
        self.follow_task.abort();
    }
}
