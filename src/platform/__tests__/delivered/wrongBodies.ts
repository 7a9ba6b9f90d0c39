/**
 * Bodies of answers of status 200 that say nothing: of the store and of engines.
 */

const rowCount = 200_000;
const deepNesting = 500_000;

/** The bodies by name; all are within what a client reads. */
export const wrongBodies: Readonly<Record<string, string>> = {
    nothing: "",
    "half of a text": '{"items":[{"key":"a","val',
    "a number": "1e400",
    "other fields": '{"constructor":{},"__proto__":{"end_offset":1}}',
    "other types": '{"items":{},"end_offset":"1","generation":"x","parts":7,"sequence":-1,"models":{}}',
    "many items that are none": `{"end_offset":1e308,"items":[${"1,".repeat(rowCount)}1]}`,
    "many parts that are none": `{"generation":1,"parts":[${"[],".repeat(rowCount)}1]}`,
    "many rows that are none": `[${"[1],".repeat(rowCount)}1]`,
    "many models that are none": `{"sequence":1,"models":[${"1,".repeat(rowCount)}1]}`,
    "many adapters that are none": `{"sequence":1,"models":[{"name":"m","adapters":[${"1,".repeat(rowCount)}1]}]}`,
    "deep nesting": `${"[".repeat(deepNesting)}${"]".repeat(deepNesting)}`,
    "deep nesting in a field": `{"items":${"[".repeat(deepNesting)}${"]".repeat(deepNesting)},"end_offset":1}`,
};
