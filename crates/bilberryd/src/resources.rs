//! What a process may use on its host.

use bilberry_core::HostResources;
use nix::sys::resource::Resource;
use nix::sys::resource::getrlimit;

/// Returns the resources in the settings, without descriptors that the operating system
/// doesn't allow.
pub(crate) fn usable_resources(settings: HostResources) -> HostResources {
    let Ok((allowed, _)) = getrlimit(Resource::RLIMIT_NOFILE) else { return settings };
    let allowed = usize::try_from(allowed).unwrap_or(usize::MAX);
    if allowed < settings.descriptors {
        log::info!(
            target: "process",
            allowed,
            in_settings = settings.descriptors;
            "the operating system allows fewer descriptors than the settings"
        );
    }
    HostResources { descriptors: settings.descriptors.min(allowed), ..settings }
}
