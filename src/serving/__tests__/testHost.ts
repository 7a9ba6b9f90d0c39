/**
 * Loopback address of this test process on which ports are opened again after they were closed: connections begin at another
 * address, so that none of them has taken such a port meanwhile.
 */

const hostsPerByte = 200;
const secondByteLimit = 250;

/** Address of instances and of the links between them and servers. */
export const testHost = `127.${process.pid % hostsPerByte + 1}.${
    Math.floor(process.pid / hostsPerByte) % secondByteLimit
}.253`;
