import type {Experiment} from './types.js';

const minuteMs = 60_000;

/** All experiments. Each measures three minutes after a warm-up of one minute. */
export const experiments: readonly Experiment[] = [
	{
		name: 'steady',
		description: 'Usual traffic without disturbances',
		disturbances: [],
	},
	{
		name: 'shift',
		description:
			'The least popular half of the adapters becomes the most popular',
		disturbances: [],
		popularityShiftAtMs: minuteMs,
	},
	{
		name: 'overload',
		description: 'The second customer sends six times its usual traffic',
		disturbances: [],
		overload: {customer: 1, factor: 6},
	},
	{
		name: 'zone',
		description: 'One of three zones is taken out for a minute',
		disturbances: [
			{kind: 'zoneOut', zone: 'zone-b', fromMs: minuteMs, toMs: 2 * minuteMs},
		],
	},
	{
		name: 'restart',
		description: 'Three engines restart without loaded adapters',
		disturbances: [
			{kind: 'enginesRestart', engines: [0, 1, 2], atMs: minuteMs},
		],
	},
	{
		name: 'store',
		description: 'The table service is down for two minutes',
		disturbances: [
			{kind: 'storeDown', fromMs: 0.5 * minuteMs, toMs: 2.5 * minuteMs},
		],
	},
	{
		name: 'crash',
		description:
			'A caller sends a request that crashes engines every four seconds',
		disturbances: [],
		poisonEveryMs: 4000,
	},
	{
		name: 'entry',
		description: 'One of three entries is killed',
		disturbances: [{kind: 'entryKilled', entry: 0, atMs: minuteMs}],
	},
	{
		name: 'weights',
		description: 'The weight store is six times slower for a minute',
		disturbances: [
			{kind: 'weightsSlow', factor: 6, fromMs: minuteMs, toMs: 2 * minuteMs},
		],
	},
];
