/**
 * Copies of all topics that an instance follows.
 *
 * @packageDocumentation
 */
import { isSameServerValue } from "./sameServerValue.js";
import { createTopicCache, type TopicCache } from "./topicCache.js";
import type { KeyedTopic, RecordCodec } from "./types.js";

/**
 * Creates empty copies.
 *
 * @param codec - decoders of the records
 * @returns the copy of each topic
 */
export function createTopicCaches(codec: RecordCodec): Readonly<Record<KeyedTopic, TopicCache>> {
    return {
        configuration: createTopicCache(),
        servers: createTopicCache({ isSameValue: (...entry) => isSameServerValue(codec, ...entry) }),
        instances: createTopicCache(),
        quarantines: createTopicCache(),
    };
}
