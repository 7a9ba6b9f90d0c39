/**
 * Tasks of tests, benches and simulations that nobody waits for. Unlike those of the product, one that fails ends the
 * run, so that no failure is passed over.
 *
 * @packageDocumentation
 */

/**
 * Leaves a task to itself.
 *
 * @param task - promise of the task, or what it returned at once
 */
export function startDetached(task: unknown): void {
    Promise.resolve(task).catch((error: unknown) => {
        setImmediate(() => {
            throw error;
        });
    });
}
