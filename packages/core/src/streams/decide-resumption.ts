import type {Resumption, StreamKnowledge} from './types.js';

/**
 * Decides where a stream goes on. A record of its origin decides. Without one, the software version is certain only if
 * the service has had a single one for as long as a stream may last.
 *
 * @param service service that the request would run on
 * @param own what this entry knows
 * @param answers what other entries know
 * @param listed software versions of the service's servers that this entry knows now
 */
export function decideResumption(
	service: string,
	own: StreamKnowledge,
	answers: readonly StreamKnowledge[],
	listed: readonly string[],
): Resumption {
	const known = [own, ...answers];
	const origin = known.find(item => item.origin !== undefined)?.origin;
	if (origin !== undefined) {
		return {kind: 'known', origin, by: 'record'};
	}

	const versions = new Set([
		...known.map(({onlyVersion}) => onlyVersion),
		...listed,
	]);
	versions.delete(undefined);
	const isCertain = known.some(({onlyVersion}) => onlyVersion !== undefined);
	const [softwareVersion = ''] = versions;
	return isCertain && versions.size === 1
		? {
				kind: 'known',
				origin: {service, softwareVersion},
				by: 'onlyVersion',
			}
		: {kind: 'unknown'};
}
