import {defineParameterType} from '@cucumber/cucumber';
import {readNames, readShown} from '../support/parameter-types.js';

// Cucumber does not take the patterns of its expressions with the v flag.
/* eslint-disable require-unicode-regexp */

defineParameterType({
	name: 'names',
	regexp: /"[^"]+"(?:(?:, | and )"[^"]+")+/,
	transformer: (text: string) => readNames(text),
});

defineParameterType({
	name: 'who',
	regexp: /without a key|with the key "[^"]+"|with the key of "[^"]+"/,
	transformer: (text: string) => readShown(text),
});

defineParameterType({
	name: 'place',
	regexp: /the usual header|an X-Api-Key|a cookie|the query|the body/,
	transformer: (text: string) => text,
});
/* eslint-enable require-unicode-regexp */
