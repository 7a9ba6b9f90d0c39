/**
 * A deployment of the delivered program: a store, backend servers and machines, which all end with the play.
 */
import {
    buildDeliveredProgram,
    createMachine,
    type DeliveredMachine,
    type DeliveredProgram,
} from "./deliveredProgram.js";
import { startWireServer, type WireServer, type WireServerOptions } from "./wireServers.js";
import { startWireStore, type WireStore } from "./wireStore.js";

/** What a deployment consists of. */
export interface DeploymentOptions {
    /** Built program; one is built for the play where none is given. */
    readonly program?: DeliveredProgram;
    /** Store that its caller closes; one is started for the play where none is given. */
    readonly store?: WireStore;
    /** Value of the operator's record. */
    readonly configuration: string;
    readonly servers: readonly Omit<WireServerOptions, "store">[];
    readonly machines: number;
    /** Returns the address at which a machine, counted from 0, reaches the store. @default that of the store */
    readonly findStoreAddress?: (machine: number) => string;
}

/** A running deployment, whose machines are ready. */
export interface Deployment {
    readonly store: WireStore;
    readonly servers: readonly WireServer[];
    readonly machines: readonly DeliveredMachine[];
    /** Starts a server that ends with the deployment. */
    readonly addServer: (options: Omit<WireServerOptions, "store">) => Promise<WireServer>;
}

/**
 * Runs a play in a deployment and ends all of it afterwards.
 *
 * @param options - what the deployment consists of
 * @param play - what happens; gets the deployment
 * @returns what the play has returned
 */
export async function runDeployment<Result>(
    options: DeploymentOptions,
    play: (deployment: Deployment) => Promise<Result>,
): Promise<Result> {
    const program = options.program ?? buildDeliveredProgram();
    const store = options.store ?? await startWireStore();
    const closers: (() => unknown)[] = [];
    if (!options.store) {
        closers.push(store.close);
    }
    if (!options.program) {
        closers.push(program.remove);
    }
    const addServer = async (added: Omit<WireServerOptions, "store">): Promise<WireServer> => {
        const server = await startWireServer({ ...added, store });
        closers.push(server.close);
        return server;
    };
    try {
        store.put("keyed.op", "config", options.configuration);
        const servers: WireServer[] = [];
        for (const server of options.servers) {
            servers.push(await addServer(server));
        }
        const machines: DeliveredMachine[] = [];
        for (let index = 0; index < options.machines; index++) {
            const address = options.findStoreAddress?.(index) ?? store.address;
            const machine = await createMachine(program, index + 1, address);
            // machines end first
            closers.unshift(machine.kill);
            machine.start(true);
            machines.push(machine);
        }
        await Promise.all(machines.map(machine => machine.waitReady()));
        return await play({ store, servers, machines, addServer });
    }
    finally {
        for (const close of closers) {
            await close();
        }
    }
}

/**
 * Waits.
 *
 * @param duration - time in milliseconds
 * @returns when it has passed
 */
export function pause(duration: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, duration));
}
