/**
 * Rate limits that hold over all instances together: token rates and bursts of client accounts, and the rate and
 * concurrency of adapter loads at the weight store.
 *
 * Every limit is a resource. Its capacity and rate are divided equally among the member instances, each of which keeps
 * its share in a local bucket. The members are those of the current membership epoch, and an instance may use its share
 * only while it holds a valid lease on that epoch.
 *
 * A draw is a request for units of a resource. It is served from the local bucket if that holds enough units; otherwise
 * it is sent to the resource's coordinator, a member that rendezvous hashing selects. The coordinator borrows units
 * from the members' local buckets into a pool and grants queued draws from it.
 *
 * @packageDocumentation
 */
export * from "./effects.js";
export * from "./limiterCore.js";
export * from "./limitsTask.js";
export * from "./limitTimes.js";
export { type ResourceKind, type ResourceLimits } from "./localBucket.js";
export * from "./messages.js";
export * from "./outputEstimate.js";
export * from "./resources.js";
export * from "./types.js";
