import type {
	AuthorityConfig,
	AuthorityRow,
	CustomerRule,
	RouteRule,
} from './types.js';

export const route: RouteRule = {
	name: 'r',
	host: 'a.example',
	pathPrefix: '/a/',
	kind: 'idempotent',
	timeoutMs: 1000,
	targetMs: 100,
	priority: 1,
	shares: [{service: 's', weight: 1}],
	maxAttempts: 2,
	isOpen: false,
	isResumable: false,
};

export const customer: CustomerRule = {
	name: 'c',
	keys: ['k'],
	priority: undefined,
	unitsPerSecond: 100,
	burstUnits: 200,
	isMeteredInTokens: true,
	plainTokens: 1,
};

export function configOf(
	version: number,
	changes: Partial<AuthorityConfig> = {},
): AuthorityConfig {
	return {
		version,
		routes: [route],
		services: [],
		limits: {
			maxHeaderBytes: 1,
			maxBodyBytes: 1,
			headerTimeoutMs: 1,
			idleTimeoutMs: 1,
		},
		customers: [customer],
		...changes,
	};
}

export function configRow(rowVersion: number, version: number): AuthorityRow {
	return {
		key: 'config',
		rowVersion,
		statement: {type: 'config', config: configOf(version)},
	};
}
