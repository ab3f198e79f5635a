import type {GossipMessage} from './messages.js';

type FieldType = 'text' | 'number' | 'flag' | 'list' | 'object';

/** Fields that each message of a type has. Their items are those of the sender, which has decoded them. */
const requiredFields: Readonly<
	Record<GossipMessage['type'], Readonly<Record<string, FieldType>>>
> = {
	entry: {
		from: 'text',
		sentAt: 'number',
		authorityVersion: 'number',
		isServing: 'flag',
		levels: 'list',
	},
	quotaAsk: {
		from: 'text',
		askId: 'number',
		customer: 'text',
		units: 'number',
	},
	quotaAnswer: {askId: 'number', grant: 'object'},
	quotaReturn: {customer: 'text', units: 'number'},
	suspect: {fingerprint: 'text', server: 'text'},
	partNote: {reportId: 'text', suspects: 'list', cleared: 'list'},
	leaving: {server: 'text', born: 'number'},
	demand: {server: 'text', demand: 'object'},
	turnAsk: {askId: 'number', promptTokens: 'number'},
	turnAnswer: {askId: 'number', delayMs: 'number'},
	turnReturn: {promptTokens: 'number'},
	turnTaken: {askId: 'number', promptTokens: 'number'},
	pace: {server: 'text', slowdown: 'number'},
	report: {server: 'text', report: 'object'},
	streamNote: {streams: 'list'},
	streamAsk: {
		askId: 'number',
		id: 'text',
		service: 'text',
		spanMs: 'number',
	},
	streamAnswer: {askId: 'number', from: 'text'},
	usageCounts: {contribution: 'object'},
	usageAck: {ack: 'object'},
	usageDecision: {window: 'number', counts: 'object'},
};

const isOfType: Readonly<Record<FieldType, (value: unknown) => boolean>> = {
	text: value => typeof value === 'string',
	// Numbers past the range of a double are parsed as infinite.
	number: value => Number.isFinite(value),
	flag: value => typeof value === 'boolean',
	list: value => Array.isArray(value),
	object: value =>
		typeof value === 'object' && value !== null && !Array.isArray(value),
};

/** Whether a value has a known `type` and the fields that each message of this type has. */
export function hasRequiredFields(value: unknown): value is GossipMessage {
	if (!isRecord(value) || typeof value.type !== 'string') {
		return false;
	}

	const {type} = value;
	return (
		isMessageType(type) &&
		Object.entries(requiredFields[type]).every(([name, fieldType]) =>
			isOfType[fieldType](value[name]),
		)
	);
}

function isMessageType(type: string): type is GossipMessage['type'] {
	return Object.hasOwn(requiredFields, type);
}

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null;
}
